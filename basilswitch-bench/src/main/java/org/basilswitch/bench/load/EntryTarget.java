package org.basilswitch.bench.load;

/**
 * An entry host as the balancer knows it.
 *
 * @param name name
 * @param callerPort callers' port on loopback
 * @param administrationPort administration port on loopback, asked for readiness
 */
public record EntryTarget(String name, int callerPort, int administrationPort) {}

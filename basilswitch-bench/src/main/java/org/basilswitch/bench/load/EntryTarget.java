package org.basilswitch.bench.load;

/**
 * Address of an entry host on loopback.
 *
 * @param name name of the entry host
 * @param callerPort port for callers' requests
 * @param administrationPort administration port, which serves the readiness probe
 */
public record EntryTarget(String name, int callerPort, int administrationPort) {}

package org.basilswitch.job;

/**
 * A pool of hosts that run work items.
 *
 * @param name name
 * @param rejectsOverload whether its backend servers refuse what does not fit
 * @param standby whether its hosts are switched off
 */
public record JobPool(String name, boolean rejectsOverload, boolean standby) {}

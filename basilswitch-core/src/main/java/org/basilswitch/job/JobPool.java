package org.basilswitch.job;

/**
 * A pool of hosts that run work items.
 *
 * @param name name of the pool
 * @param rejectsOverload whether its backend servers reject work items that exceed their free capacity
 * @param standby whether its hosts are switched off
 */
public record JobPool(String name, boolean rejectsOverload, boolean standby) {}

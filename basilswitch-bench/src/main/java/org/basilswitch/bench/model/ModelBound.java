package org.basilswitch.bench.model;

/**
 * Bounds of an exhaustive check.
 *
 * @param hosts number of entry host addresses; all are members in the initial state
 * @param revisions largest number of changes of the configuration or the members
 * @param promiseTicks ticks for which the holder relies on a promise; the granter adds one tick for clock drift
 * @param messages largest number of heartbeats in transit at a time
 * @param crashes largest number of crashes
 * @param states largest number of states to visit
 */
public record ModelBound(int hosts, int revisions, int promiseTicks, int messages, int crashes, int states) {}

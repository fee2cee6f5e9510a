package org.basilswitch.bench.model;

/**
 * Bounds of a check.
 *
 * @param hosts addresses of entry hosts, all members at the start
 * @param revisions changes of the configuration or the members
 * @param promiseTicks ticks for which the holder counts a promise; the giver counts one more, for the clocks' drift
 * @param messages heartbeats on their way at a time
 * @param crashes crashes in all
 * @param states most states to visit
 */
public record ModelBound(int hosts, int revisions, int promiseTicks, int messages, int crashes, int states) {}

package org.basilswitch.job;

/**
 * Times of the advice service for a queue, as its operator states them; 0 where they are not stated.
 *
 * @param decideMs time for any call, ms
 * @param perServerMs additional time for each server that a call names, ms
 * @param validityMs time for which a ticket may be used, ms
 */
public record AdviceTimes(long decideMs, long perServerMs, long validityMs) {}

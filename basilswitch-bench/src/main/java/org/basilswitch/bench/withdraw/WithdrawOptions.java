package org.basilswitch.bench.withdraw;

import java.time.Duration;

/**
 * What to measure.
 *
 * @param entryHosts number of entry hosts
 * @param samples number of withdrawals; in every second one the store loses answers
 * @param seed seed of the random choices
 * @param lostAnswerRatio part of the store's answers that are lost after they took effect, from 0 to 1
 * @param target longest time allowed
 */
public record WithdrawOptions(int entryHosts, int samples, long seed, double lostAnswerRatio, Duration target) {}

package org.basilswitch.bench.withdraw;

import java.time.Duration;

/**
 * Options of the withdrawal benchmark.
 *
 * @param entryHosts number of entry hosts
 * @param samples number of withdrawals; the store loses answers during every second one
 * @param seed seed of the random choices
 * @param lostAnswerRatio ratio of store calls whose answers are lost after they took effect, from 0 to 1
 * @param target longest time allowed until every entry host refuses a withdrawn key
 */
public record WithdrawOptions(int entryHosts, int samples, long seed, double lostAnswerRatio, Duration target) {}

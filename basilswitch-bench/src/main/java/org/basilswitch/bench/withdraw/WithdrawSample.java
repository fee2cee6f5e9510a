package org.basilswitch.bench.withdraw;

import java.time.Duration;

/**
 * One withdrawal.
 *
 * @param storeFaulty whether the store was losing answers
 * @param attempts how often the operator had to ask until the answer was known
 * @param refusedEverywhere from the first asking until every entry host refused the key
 * @param reportedInForce from the first asking until the operator was told that it is in force
 */
record WithdrawSample(boolean storeFaulty, int attempts, Duration refusedEverywhere, Duration reportedInForce) {}

package org.basilswitch.bench.withdraw;

import java.time.Duration;

/**
 * Measurement of one withdrawal.
 *
 * @param storeFaulty whether the store was losing answers
 * @param attempts number of calls that the operator made until the withdrawal was reported as in force
 * @param refusedEverywhere time from the operator's first call until every entry host refused the key
 * @param reportedInForce time from the operator's first call until the withdrawal was reported as in force
 */
record WithdrawSample(boolean storeFaulty, int attempts, Duration refusedEverywhere, Duration reportedInForce) {}

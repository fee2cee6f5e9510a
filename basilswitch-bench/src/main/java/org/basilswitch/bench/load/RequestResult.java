package org.basilswitch.bench.load;

import java.time.Duration;

/**
 * Result of one request.
 *
 * @param testId identifier of the request, sent as idempotency key and in the body
 * @param stream stream of the request
 * @param outcome final outcome as the caller knows it
 * @param attempts number of times that the caller sent the request
 * @param latency time from the request's arrival to its final outcome
 */
public record RequestResult(String testId, LoadStream stream, Outcome outcome, int attempts, Duration latency) {}

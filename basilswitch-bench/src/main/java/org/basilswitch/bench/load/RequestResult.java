package org.basilswitch.bench.load;

import java.time.Duration;

/**
 * The account of one request.
 *
 * @param testId the load's identifier, sent as idempotency key and in the body
 * @param stream the stream that it belongs to
 * @param outcome what the caller knows at its end
 * @param attempts times that the caller sent it
 * @param latency time from arrival to the end
 */
public record RequestResult(String testId, LoadStream stream, Outcome outcome, int attempts, Duration latency) {}

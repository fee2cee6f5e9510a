package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.Optional;

/**
 * Stream of requests of one team to one queue.
 *
 * @param team name of the team; {@code open} on queues open to all
 * @param keySecret secret of the team's key, sent as bearer token; empty to send none
 * @param queue name of the queue
 * @param idempotent whether the queue declares its requests idempotent
 * @param ratePerSecond mean rate, in requests per second
 * @param serviceMs mean of the exponentially distributed service time at a worker, in milliseconds
 * @param deadline deadline sent with each request
 * @param pattern variation of the rate over time
 */
public record LoadStream(
        String team,
        Optional<String> keySecret,
        String queue,
        boolean idempotent,
        double ratePerSecond,
        double serviceMs,
        Duration deadline,
        RatePattern pattern) {}

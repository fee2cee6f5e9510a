package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.Optional;

/**
 * Requests of one team to one queue.
 *
 * @param team name of the team; {@code open} on queues open to all
 * @param keySecret bearer key; empty to send none
 * @param queue name of the queue
 * @param idempotent whether the queue declares its requests idempotent
 * @param ratePerSecond mean rate
 * @param serviceMs mean of the exponentially distributed time that a request takes at a worker, in milliseconds
 * @param deadline deadline sent with each request
 * @param pattern how the rate changes with time
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

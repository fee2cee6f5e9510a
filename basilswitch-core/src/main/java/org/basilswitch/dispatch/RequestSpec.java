package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller asked for.
 *
 * @param queue name in the path
 * @param keySecret the bearer key; empty when the caller sent none
 * @param idempotencyKey the caller's id of the request; empty when it sent none
 * @param deadline time from arrival after which an answer is of no use; empty takes the queue's
 * @param priority priority
 */
public record RequestSpec(
        String queue,
        Optional<String> keySecret,
        Optional<String> idempotencyKey,
        Optional<Duration> deadline,
        Priority priority) {

    /** Priorities in the order in which capacity is given. */
    public enum Priority {
        URGENT,
        NORMAL,
        BACKGROUND
    }
}

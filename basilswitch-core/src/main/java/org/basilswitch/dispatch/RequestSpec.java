package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request as typed fields.
 *
 * @param queue queue name from the path
 * @param keySecret secret of the bearer key; empty when the caller sent none
 * @param idempotencyKey the caller's idempotency key; empty when it sent none
 * @param deadline time from arrival after which an answer is of no use; empty for the queue's deadline
 * @param priority priority
 */
public record RequestSpec(
        String queue,
        Optional<String> keySecret,
        Optional<String> idempotencyKey,
        Optional<Duration> deadline,
        Priority priority) {

    /** Priorities, in the order in which capacity is assigned. */
    public enum Priority {
        URGENT,
        NORMAL,
        BACKGROUND
    }
}

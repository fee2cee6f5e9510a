package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** Fleet-wide claims of idempotency keys: a key is granted to at most one attempt within its queue's claim time. */
public interface RequestClaims {

    /**
     * Claims a key before the request's first byte is sent.
     *
     * @param queue name of the queue
     * @param idempotencyKey the caller's idempotency key
     * @param claimTime how long the claim is kept
     * @param timeout how long to wait for the commit
     * @return the result, which completes on the event loop
     */
    CompletionStage<ClaimResult> claim(String queue, String idempotencyKey, Duration claimTime, Duration timeout);

    /** Withdraws a granted claim of a request that was certainly never sent, so that the caller may retry. */
    void release(String queue, String idempotencyKey);

    /** The result of a claim. */
    sealed interface ClaimResult {}

    /** The claim is committed in the store; the request may be sent once. */
    record Granted() implements ClaimResult {}

    /** The key is claimed by another attempt. */
    record Duplicate() implements ClaimResult {}

    /** The claim could not be committed. It is not granted and will not be granted later. */
    record Unavailable(String reason) implements ClaimResult {}
}

package org.basilswitch.configuration;

/**
 * A queue of requests, served by one pool.
 *
 * @param name unique name, part of the caller's path
 * @param pool the pool that serves the queue
 * @param openToAll whether requests without a key are accepted
 * @param idempotent whether a request may be sent again after it may have run
 * @param claimTimeMs how long an idempotency key stays claimed, in milliseconds
 * @param deadlineMs deadline of a request that states none, in milliseconds
 * @param bodyLimitBytes largest request body, in bytes
 * @param queuedLimitRequests most requests waiting at one entry host
 */
public record Queue(
        String name,
        String pool,
        boolean openToAll,
        boolean idempotent,
        long claimTimeMs,
        long deadlineMs,
        long bodyLimitBytes,
        int queuedLimitRequests)
        implements ConfigurationRecord {}

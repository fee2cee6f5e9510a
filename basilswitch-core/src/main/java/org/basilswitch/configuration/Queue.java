package org.basilswitch.configuration;

/**
 * A queue of requests, served by one pool.
 *
 * @param name unique name, used in the path of callers' requests
 * @param pool name of the pool that serves the queue
 * @param openToAll whether requests without a team key are accepted
 * @param idempotent whether a request may be retried after an attempt that may have run
 * @param claimTimeMs time for which an idempotency key stays claimed, in milliseconds
 * @param deadlineMs default deadline of requests that specify none, in milliseconds
 * @param bodyLimitBytes maximum size of a request body, in bytes
 * @param queuedLimitRequests maximum number of requests waiting at one entry host
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

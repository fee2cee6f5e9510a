package org.basilswitch.daemon;

import java.time.Duration;

/**
 * Bounds on what a caller may send and how slowly.
 *
 * @param maxHeaderBytes largest request head, in bytes
 * @param maxBodyBytes largest request body of any queue, in bytes
 * @param replayBodyBytes largest request body that is retained until its answer comes, in bytes, so that a request
 *     that certainly did not run can be sent to another backend server
 * @param headTimeout longest time from opening a connection, or from the last answer on it, to a whole request head
 * @param bodyIdleTimeout longest pause of a caller within a body
 */
public record CallerOptions(
        int maxHeaderBytes, long maxBodyBytes, int replayBodyBytes, Duration headTimeout, Duration bodyIdleTimeout) {

    private static final int KIB = 1024;

    /** The defaults. */
    public static CallerOptions defaults() {
        return new CallerOptions(16 * KIB, 64L * KIB * KIB, 16 * KIB, Duration.ofSeconds(30), Duration.ofSeconds(15));
    }
}

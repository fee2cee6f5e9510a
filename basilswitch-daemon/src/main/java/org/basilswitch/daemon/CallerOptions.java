package org.basilswitch.daemon;

import java.time.Duration;

import org.basilswitch.backpressure.ConnectionLimits;

/**
 * Size limits and timeouts for callers' requests.
 *
 * @param maxHeaderBytes largest request line and headers, in bytes
 * @param maxBodyBytes largest request body of any queue, in bytes
 * @param replayBodyBytes largest request body that is retained until the response arrives, in bytes, so that a request
 *     that was certainly not run can be retried at another backend server
 * @param headerTimeout longest time from opening a connection, or from the last response on it, to complete headers
 * @param bodyIdleTimeout longest time without data while a body is incomplete
 * @param connections what the callers' connections may hold of the process
 */
public record CallerOptions(
        int maxHeaderBytes,
        long maxBodyBytes,
        int replayBodyBytes,
        Duration headerTimeout,
        Duration bodyIdleTimeout,
        ConnectionLimits connections) {

    private static final int KIB = 1024;

    /** Returns the default options. */
    public static CallerOptions defaults() {
        return new CallerOptions(
                16 * KIB,
                64L * KIB * KIB,
                16 * KIB,
                Duration.ofSeconds(30),
                Duration.ofSeconds(15),
                ConnectionLimits.of(64L * KIB * KIB, 8192));
    }
}

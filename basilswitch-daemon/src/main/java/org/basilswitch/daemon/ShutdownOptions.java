package org.basilswitch.daemon;

import java.time.Duration;

/**
 * Timing of a graceful shutdown.
 *
 * @param balancerWait time from turning not ready until the load balancer sends no more requests
 * @param drainTimeout longest time to complete open requests after {@code balancerWait}
 */
public record ShutdownOptions(Duration balancerWait, Duration drainTimeout) {

    /** Returns the default timing. */
    public static ShutdownOptions defaults() {
        return new ShutdownOptions(Duration.ofSeconds(5), Duration.ofSeconds(60));
    }
}

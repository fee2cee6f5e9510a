package org.basilswitch.daemon;

import java.time.Duration;

/**
 * Timing of a graceful shutdown.
 *
 * @param balancerTime time from turning not ready until the load balancer sends no more requests
 * @param drainTime longest time to complete open requests after {@code balancerTime}
 */
public record ShutdownOptions(Duration balancerTime, Duration drainTime) {

    /** Returns the default timing. */
    public static ShutdownOptions defaults() {
        return new ShutdownOptions(Duration.ofSeconds(5), Duration.ofSeconds(60));
    }
}

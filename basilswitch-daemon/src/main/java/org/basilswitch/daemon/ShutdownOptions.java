package org.basilswitch.daemon;

import java.time.Duration;

/**
 * The steps of a graceful shutdown.
 *
 * @param balancerTime time from turning not ready until the balancer sends nothing more
 * @param drainTime longest time to complete open requests after that
 */
public record ShutdownOptions(Duration balancerTime, Duration drainTime) {

    /** The defaults. */
    public static ShutdownOptions defaults() {
        return new ShutdownOptions(Duration.ofSeconds(5), Duration.ofSeconds(60));
    }
}

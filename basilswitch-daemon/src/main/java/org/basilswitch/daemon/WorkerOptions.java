package org.basilswitch.daemon;

import java.time.Duration;

/**
 * How backend servers are spoken to.
 *
 * @param connectTimeout longest time to get a connection
 * @param idleConnectionTime how long an unused connection is kept; shorter than the backend servers' own time, so that
 *     none is closed under a request
 * @param startWindow time after sending within which a backend server may still start the request
 */
public record WorkerOptions(Duration connectTimeout, Duration idleConnectionTime, Duration startWindow) {

    /** The defaults. */
    public static WorkerOptions defaults() {
        return new WorkerOptions(Duration.ofSeconds(1), Duration.ofSeconds(15), Duration.ofSeconds(2));
    }
}

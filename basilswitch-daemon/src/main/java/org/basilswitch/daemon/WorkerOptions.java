package org.basilswitch.daemon;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.net.HostAndPort;

/**
 * How backend servers are spoken to.
 *
 * @param connectTimeout longest time to get a connection
 * @param idleConnectionTime how long an unused connection is kept; shorter than the backend servers' own time, so that
 *     none is closed under a request
 * @param startWindow time after sending within which a backend server may still start the request
 * @param liveList where the platform lists live hosts; empty when the site has no such list
 * @param listInterval time between two reads of that list
 */
public record WorkerOptions(
        Duration connectTimeout,
        Duration idleConnectionTime,
        Duration startWindow,
        Optional<HostAndPort> liveList,
        Duration listInterval) {

    /** The defaults. */
    public static WorkerOptions defaults() {
        return new WorkerOptions(
                Duration.ofSeconds(1),
                Duration.ofSeconds(15),
                Duration.ofSeconds(2),
                Optional.empty(),
                Duration.ofSeconds(1));
    }

    /** The same with a live-host list. */
    public WorkerOptions withLiveList(HostAndPort address, Duration interval) {
        return new WorkerOptions(connectTimeout, idleConnectionTime, startWindow, Optional.of(address), interval);
    }
}

package org.basilswitch.daemon;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.daemon.livelist.LiveListOptions;

/**
 * How backend servers are spoken to.
 *
 * @param connectTimeout longest time to get a connection
 * @param idleConnectionTime how long an unused connection is kept; shorter than the backend servers' own time, so that
 *     none is closed under a request
 * @param startWindow time after sending within which a backend server may still start the request
 * @param liveList the platform's list of hosts; empty when the site has none
 */
public record WorkerClientOptions(
        Duration connectTimeout,
        Duration idleConnectionTime,
        Duration startWindow,
        Optional<LiveListOptions> liveList) {

    /** The defaults. */
    public static WorkerClientOptions defaults() {
        return new WorkerClientOptions(
                Duration.ofSeconds(1), Duration.ofSeconds(15), Duration.ofSeconds(2), Optional.empty());
    }

    /** The same with a list of hosts to read. */
    public WorkerClientOptions withLiveList(LiveListOptions next) {
        return new WorkerClientOptions(connectTimeout, idleConnectionTime, startWindow, Optional.of(next));
    }
}

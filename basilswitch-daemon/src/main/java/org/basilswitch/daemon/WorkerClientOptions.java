package org.basilswitch.daemon;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.daemon.livelist.LiveListOptions;

/**
 * Options of the connections to backend servers.
 *
 * @param connectTimeout longest time to open a connection
 * @param idleTimeout time after which an unused connection is closed; must be shorter than the backend servers'
 *     idle timeout, so that no server closes a connection while a request is being sent on it
 * @param startWindow time after sending during which a backend server may start the request
 * @param liveList options of the live-host reader; empty when the site has no live-host list
 */
public record WorkerClientOptions(
        Duration connectTimeout, Duration idleTimeout, Duration startWindow, Optional<LiveListOptions> liveList) {

    /** Returns the default options, without a live-host list. */
    public static WorkerClientOptions defaults() {
        return new WorkerClientOptions(
                Duration.ofSeconds(1), Duration.ofSeconds(15), Duration.ofSeconds(2), Optional.empty());
    }

    /** Returns a copy with a live-host list. */
    public WorkerClientOptions withLiveList(LiveListOptions next) {
        return new WorkerClientOptions(connectTimeout, idleTimeout, startWindow, Optional.of(next));
    }
}

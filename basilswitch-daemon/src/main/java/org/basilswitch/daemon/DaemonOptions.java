package org.basilswitch.daemon;

import java.time.Duration;
import java.util.List;

/**
 * What an entry host's process is told at start.
 *
 * @param site site name, the prefix of its keys in the platform's store
 * @param node name of this entry host
 * @param zone availability zone
 * @param callers callers' port
 * @param administration administration port
 * @param peers peer port
 * @param storeEndpoints URLs of the platform's store
 * @param tlsCheckInterval time between looks at the TLS files
 * @param timing peer lease timing
 * @param caller bounds on callers
 * @param worker backend servers' connections
 * @param shutdown steps of a graceful shutdown
 */
public record DaemonOptions(
        String site,
        String node,
        String zone,
        ListenOptions callers,
        ListenOptions administration,
        ListenOptions peers,
        List<String> storeEndpoints,
        Duration tlsCheckInterval,
        PeerTiming timing,
        CallerOptions caller,
        WorkerClientOptions worker,
        ShutdownOptions shutdown) {

    /** Copies the list. */
    public DaemonOptions {
        storeEndpoints = List.copyOf(storeEndpoints);
    }

    /** An entry host on free loopback ports with the defaults. */
    public static DaemonOptions loopback(String site, String node, String zone) {
        return new DaemonOptions(
                site,
                node,
                zone,
                ListenOptions.loopback(),
                ListenOptions.loopback(),
                ListenOptions.loopback(),
                List.of(),
                Duration.ofSeconds(10),
                PeerTiming.defaults(),
                CallerOptions.defaults(),
                WorkerClientOptions.defaults(),
                ShutdownOptions.defaults());
    }

    /** The same with other timing of the peer leases. */
    public DaemonOptions withTiming(PeerTiming next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callers,
                administration,
                peers,
                storeEndpoints,
                tlsCheckInterval,
                next,
                caller,
                worker,
                shutdown);
    }

    /** The same with other bounds on callers. */
    public DaemonOptions withCaller(CallerOptions next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callers,
                administration,
                peers,
                storeEndpoints,
                tlsCheckInterval,
                timing,
                next,
                worker,
                shutdown);
    }

    /** The same with another way to speak to backend servers. */
    public DaemonOptions withWorker(WorkerClientOptions next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callers,
                administration,
                peers,
                storeEndpoints,
                tlsCheckInterval,
                timing,
                caller,
                next,
                shutdown);
    }

    /** The same with other shutdown steps. */
    public DaemonOptions withShutdown(ShutdownOptions next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callers,
                administration,
                peers,
                storeEndpoints,
                tlsCheckInterval,
                timing,
                caller,
                worker,
                next);
    }

    /** The same with another time between looks at the TLS files. */
    public DaemonOptions withTlsCheckInterval(Duration next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callers,
                administration,
                peers,
                storeEndpoints,
                next,
                timing,
                caller,
                worker,
                shutdown);
    }

    /** The same with other ports. */
    public DaemonOptions withPorts(ListenOptions nextCallers, ListenOptions nextAdmin, ListenOptions nextPeers) {
        return new DaemonOptions(
                site,
                node,
                zone,
                nextCallers,
                nextAdmin,
                nextPeers,
                storeEndpoints,
                tlsCheckInterval,
                timing,
                caller,
                worker,
                shutdown);
    }

    /**
     * Timing of the peer leases.
     *
     * @param promiseTime how long a promise between entry hosts lasts
     * @param heartbeatInterval time between heartbeats
     * @param clockDriftRatio largest relative difference of two hosts' monotonic clocks, such as 0.01
     */
    public record PeerTiming(Duration promiseTime, Duration heartbeatInterval, double clockDriftRatio) {

        /** The defaults. */
        public static PeerTiming defaults() {
            return new PeerTiming(Duration.ofSeconds(2), Duration.ofMillis(500), 0.01);
        }
    }
}

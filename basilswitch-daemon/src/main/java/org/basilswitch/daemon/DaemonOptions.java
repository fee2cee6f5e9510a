package org.basilswitch.daemon;

import java.time.Duration;
import java.util.List;

/**
 * Options of an entry host's process.
 *
 * @param site site name, the prefix of its keys in the platform's store
 * @param node name of this entry host
 * @param zone availability zone
 * @param callers where the callers' port listens
 * @param administration where the administration port listens
 * @param peers where the peer port listens
 * @param storeEndpoints URLs of the platform's store
 * @param tlsCheckInterval time between checks of the TLS files for changes
 * @param timing timing of the peer leases
 * @param caller size limits and timeouts for callers
 * @param worker connections to backend servers
 * @param shutdown timing of a graceful shutdown
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

    /** Copies the list of store endpoints. */
    public DaemonOptions {
        storeEndpoints = List.copyOf(storeEndpoints);
    }

    /** Creates default options for an entry host that listens on free loopback ports. */
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

    /** Returns a copy with other timing of the peer leases. */
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

    /** Returns a copy with other limits and timeouts for callers. */
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

    /** Returns a copy with other options for the connections to backend servers. */
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

    /** Returns a copy with other timing of a graceful shutdown. */
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

    /** Returns a copy with another interval between checks of the TLS files. */
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

    /** Returns a copy with other ports. */
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
     * @param promiseTime duration of a lease between entry hosts
     * @param heartbeatInterval time between two heartbeats
     * @param clockDriftRatio largest relative drift between two hosts' monotonic clocks, such as 0.01 for 1 %
     */
    public record PeerTiming(Duration promiseTime, Duration heartbeatInterval, double clockDriftRatio) {

        /** Returns the default timing. */
        public static PeerTiming defaults() {
            return new PeerTiming(Duration.ofSeconds(2), Duration.ofMillis(500), 0.01);
        }
    }
}

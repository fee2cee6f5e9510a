package org.basilswitch.daemon;

import java.time.Duration;
import java.util.List;

/**
 * Options of an entry host's process.
 *
 * @param site site name, the prefix of its keys in the platform's store
 * @param node name of this entry host
 * @param zone availability zone
 * @param callerListen where the callers' port listens
 * @param administrationListen where the administration port listens
 * @param peerListen where the peer port listens
 * @param storeEndpoints URLs of the platform's store
 * @param tlsCheckInterval time between checks of the TLS files for changes
 * @param peerTiming timing of the peer leases
 * @param callerOptions size limits and timeouts for callers
 * @param workerOptions connections to backend servers
 * @param shutdownOptions timing of a graceful shutdown
 */
public record DaemonOptions(
        String site,
        String node,
        String zone,
        ListenOptions callerListen,
        ListenOptions administrationListen,
        ListenOptions peerListen,
        List<String> storeEndpoints,
        Duration tlsCheckInterval,
        PeerTiming peerTiming,
        CallerOptions callerOptions,
        WorkerClientOptions workerOptions,
        ShutdownOptions shutdownOptions) {

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
    public DaemonOptions withPeerTiming(PeerTiming next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callerListen,
                administrationListen,
                peerListen,
                storeEndpoints,
                tlsCheckInterval,
                next,
                callerOptions,
                workerOptions,
                shutdownOptions);
    }

    /** Returns a copy with other limits and timeouts for callers. */
    public DaemonOptions withCallerOptions(CallerOptions next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callerListen,
                administrationListen,
                peerListen,
                storeEndpoints,
                tlsCheckInterval,
                peerTiming,
                next,
                workerOptions,
                shutdownOptions);
    }

    /** Returns a copy with other options for the connections to backend servers. */
    public DaemonOptions withWorkerOptions(WorkerClientOptions next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callerListen,
                administrationListen,
                peerListen,
                storeEndpoints,
                tlsCheckInterval,
                peerTiming,
                callerOptions,
                next,
                shutdownOptions);
    }

    /** Returns a copy with other timing of a graceful shutdown. */
    public DaemonOptions withShutdownOptions(ShutdownOptions next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callerListen,
                administrationListen,
                peerListen,
                storeEndpoints,
                tlsCheckInterval,
                peerTiming,
                callerOptions,
                workerOptions,
                next);
    }

    /** Returns a copy with another interval between checks of the TLS files. */
    public DaemonOptions withTlsCheckInterval(Duration next) {
        return new DaemonOptions(
                site,
                node,
                zone,
                callerListen,
                administrationListen,
                peerListen,
                storeEndpoints,
                next,
                peerTiming,
                callerOptions,
                workerOptions,
                shutdownOptions);
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
                peerTiming,
                callerOptions,
                workerOptions,
                shutdownOptions);
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

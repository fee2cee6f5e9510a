package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.Resources;

/**
 * Client for the platform's control of the hosts that run backend servers. Each command carries its sender and fencing
 * token. Every stage completes normally, on the event loop.
 */
public interface HostControl {

    /** Lists all hosts; empty when there is no answer. */
    CompletionStage<Optional<List<PlatformHost>>> listHosts();

    /**
     * Moves a host to another pool, which ends everything that runs on it. Has no effect if the host is already in that
     * pool.
     */
    CompletionStage<HostCommandResult> move(String host, String pool, long fencingToken);

    /**
     * Takes a host down for maintenance, which ends everything that runs on it. Has no effect if this wave has already
     * maintained the host.
     */
    CompletionStage<HostCommandResult> maintain(String host, long wave, long fencingToken);

    /**
     * A host as listed by the platform.
     *
     * @param name name
     * @param pool name of the pool
     * @param state state
     * @param zone availability zone; empty when it is not listed
     * @param labels kind of the host, then its rack
     * @param capacity resources of the host
     * @param serverId identifier of its backend server; empty while it has none
     */
    record PlatformHost(
            String name,
            String pool,
            PlatformHostState state,
            String zone,
            List<String> labels,
            Resources capacity,
            Optional<String> serverId) {}

    /** States of a host. */
    enum PlatformHostState {
        UP,
        MOVING,
        MAINTENANCE,
        DOWN
    }

    /** Result of a command to a host. */
    enum HostCommandResult {
        DONE,
        /** The host control has seen a higher fencing token. */
        FENCED,
        /** The host is not up, or is about to leave. */
        BUSY,
        /** The host is not part of the wave. */
        NOT_IN_WAVE,
        /** The host does not exist or cannot be in that pool. */
        INVALID,
        /** Too many commands at the same time; nothing was done. */
        TOO_MANY,
        /** The result is unknown: the command may have been carried out. */
        NO_ANSWER
    }
}

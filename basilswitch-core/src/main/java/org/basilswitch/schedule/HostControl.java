package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.Resources;

/**
 * The platform's interface for the hosts of backend servers. Each order names its holder and fencing number. Every
 * stage completes normally, on the event loop.
 */
public interface HostControl {

    /** Lists all hosts; empty when no answer came. */
    CompletionStage<Optional<List<PlatformHost>>> list();

    /** Moves a host to another pool; all that runs there ends at once. Without effect when it is there already. */
    CompletionStage<HostCommandResult> move(String host, String pool, long fencingToken);

    /** Maintains a host; all that runs there ends at once. Without effect when it is done already for this wave. */
    CompletionStage<HostCommandResult> maintain(String host, long wave, long fencingToken);

    /**
     * A host as the platform sees it.
     *
     * @param name name
     * @param pool pool
     * @param state state
     * @param labels kind of the host, then its rack
     * @param capacity capacity
     * @param serverId identifier of its backend server; empty while it has none
     */
    record PlatformHost(
            String name,
            String pool,
            PlatformHostState state,
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

    /** What became of an order. */
    enum HostCommandResult {
        DONE,
        /** A higher fencing number was seen. */
        FENCED,
        /** The host is not up, or is about to leave. */
        BUSY,
        /** The host is not part of the wave. */
        NOT_IN_WAVE,
        /** There is no such host, or it can't be in that pool. */
        INVALID,
        /** Too many orders at once; nothing was done. */
        TOO_MANY,
        /** It may have been carried out. */
        NO_ANSWER
    }
}

package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;

import org.basilswitch.job.Resources;

/**
 * A backend server as its entry in the list of live servers says.
 *
 * @param id identifier; may be used again by a later lifetime
 * @param bornMs start of this lifetime, Unix milliseconds
 * @param pool pool
 * @param address host and port
 * @param zone availability zone
 * @param draining whether it leaves soon and takes no new work
 * @param remainingMs least time until a draining server leaves, ms
 * @param capacity what its work items may occupy together
 * @param labels kind of the host, then its rack
 */
public record BackendServer(
        String id,
        long startedAtMs,
        String pool,
        String address,
        String zone,
        boolean draining,
        long remainingMs,
        Resources capacity,
        List<String> labels) {

    /** Copies the list. */
    public BackendServer {
        labels = List.copyOf(labels);
    }

    /** Identifies this lifetime. */
    public Incarnation incarnation() {
        return new Incarnation(id, startedAtMs);
    }

    /** The rack that the host stands in, if told. */
    public Optional<String> rack() {
        return labels.size() > 1 ? Optional.of(labels.get(1)) : Optional.empty();
    }

    /**
     * One lifetime of a backend server, which knows nothing of earlier ones.
     *
     * @param serverId identifier of the server
     * @param bornMs its start, Unix milliseconds
     */
    public record Incarnation(String serverId, long startedAtMs) {}
}

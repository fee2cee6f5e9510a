package org.basilswitch.schedule;

import java.util.List;
import java.util.Optional;

import org.basilswitch.job.Resources;

/**
 * An entry in the list of live backend servers.
 *
 * @param id identifier; a later incarnation may reuse it
 * @param startedAtMs start of this incarnation, Unix milliseconds
 * @param pool name of the pool
 * @param address host and port
 * @param zone availability zone
 * @param draining whether the server leaves soon and takes no new work
 * @param remainingMs minimum time until a draining server leaves, ms
 * @param capacity resources that its work items may use in total
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

    /** Makes an immutable copy of the labels. */
    public BackendServer {
        labels = List.copyOf(labels);
    }

    /** Returns the identity of this incarnation. */
    public Incarnation incarnation() {
        return new Incarnation(id, startedAtMs);
    }

    /** Returns the rack of the host, if it is listed. */
    public Optional<String> rack() {
        return labels.size() > 1 ? Optional.of(labels.get(1)) : Optional.empty();
    }

    /**
     * Identity of one incarnation of a backend server, which has no state of earlier incarnations.
     *
     * @param serverId identifier of the server
     * @param startedAtMs start of the incarnation, Unix milliseconds
     */
    public record Incarnation(String serverId, long startedAtMs) {}
}

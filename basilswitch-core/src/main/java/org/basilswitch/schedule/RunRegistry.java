package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.job.Resources;

/** Indexes the tracked servers by incarnation and the resources that each team uses. */
final class RunRegistry {
    private final Map<BackendServer.Incarnation, TrackedServer> servers = new LinkedHashMap<>();
    private final Map<String, TrackedServer> listedServers = new HashMap<>();
    private final Map<String, Resources> teamUsage = new HashMap<>();
    private final IncarnationFences fences;
    private final Duration maxLease;

    /**
     * Creates an empty registry.
     *
     * @param fences fencing tokens of calls to servers
     * @param maxLease longest lease that a server grants
     */
    RunRegistry(IncarnationFences fences, Duration maxLease) {
        this.fences = fences;
        this.maxLease = maxLease;
    }

    Collection<TrackedServer> servers() {
        return servers.values();
    }

    Optional<TrackedServer> server(BackendServer.Incarnation incarnation) {
        return Optional.ofNullable(servers.get(incarnation));
    }

    /** Returns a server incarnation, and adds it without a listing if it is not tracked yet. */
    TrackedServer getOrCreateServer(BackendServer.Incarnation incarnation) {
        return servers.computeIfAbsent(
                incarnation, key -> new TrackedServer(key, Optional.empty(), fences.token(key), maxLease));
    }

    /** Returns the server incarnation that is listed under an identifier and has not ended. */
    Optional<TrackedServer> listedServer(String serverId) {
        return Optional.ofNullable(listedServers.get(serverId))
                .filter(server -> server.listing().isPresent() && !server.isEnded());
    }

    /** Sets a server's entry in the list of live servers; empty when the list does not contain it. */
    void setListing(TrackedServer server, Optional<BackendServer> listing) {
        server.setListing(listing);
        String id = server.incarnation().serverId();
        if (listing.isPresent()) {
            listedServers.put(id, server);
        } else {
            listedServers.remove(id, server);
        }
    }

    /** Removes a server incarnation. */
    void removeServer(TrackedServer server) {
        servers.remove(server.incarnation());
        listedServers.remove(server.incarnation().serverId(), server);
    }

    /** Adds a run to its server and to its team's usage. */
    void add(Run run) {
        getOrCreateServer(run.incarnation()).add(run);
        teamUsage.merge(team(run), run.item().spec().resources(), Resources::plus);
    }

    /** Removes a run from its server and from its team's usage; does nothing if it is not registered. */
    void remove(Run run) {
        TrackedServer server = servers.get(run.incarnation());
        if (server != null && server.run(run.id(), run.number()).isPresent()) {
            server.remove(run);
            teamUsage.merge(team(run), run.item().spec().resources(), (sum, part) -> sum.minus(part));
        }
    }

    private static String team(Run run) {
        return run.item().job().submission().team();
    }

    /** Returns the resources of a team's runs, including runs that are being started or stopped. */
    Resources usage(String team) {
        return teamUsage.getOrDefault(team, Resources.NONE);
    }
}

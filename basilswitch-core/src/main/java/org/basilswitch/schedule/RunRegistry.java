package org.basilswitch.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.job.Resources;

/** All runs that may be at work, by server lifetime, and what each team has running. */
final class RunRegistry {
    private final Map<BackendServer.Incarnation, TrackedServer> servers = new LinkedHashMap<>();
    private final Map<String, TrackedServer> listedServers = new HashMap<>();
    private final Map<String, Resources> teamUsage = new HashMap<>();

    Collection<TrackedServer> servers() {
        return servers.values();
    }

    Optional<TrackedServer> server(BackendServer.Incarnation incarnation) {
        return Optional.ofNullable(servers.get(incarnation));
    }

    TrackedServer getOrCreateServer(BackendServer.Incarnation incarnation) {
        return servers.computeIfAbsent(incarnation, key -> new TrackedServer(key, Optional.empty()));
    }

    /** The state of a server that is listed under an identifier. */
    Optional<TrackedServer> listedServer(String serverId) {
        return Optional.ofNullable(listedServers.get(serverId))
                .filter(server -> server.listing().isPresent() && !server.isEnded());
    }

    /** Notes the entry of a server in the list of live servers; empty when it is missing there. */
    void setListing(TrackedServer server, Optional<BackendServer> listing) {
        server.setListing(listing);
        String id = server.incarnation().serverId();
        if (listing.isPresent()) {
            listedServers.put(id, server);
        } else {
            listedServers.remove(id, server);
        }
    }

    /** Removes a server's lifetime. */
    void removeServer(TrackedServer server) {
        servers.remove(server.incarnation());
        listedServers.remove(server.incarnation().serverId(), server);
    }

    void add(Run run) {
        getOrCreateServer(run.incarnation()).add(run);
        teamUsage.merge(team(run), run.item().spec().resources(), Resources::plus);
    }

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

    /** What a team has running, including what is being started or stopped. */
    Resources usage(String team) {
        return teamUsage.getOrDefault(team, Resources.NONE);
    }
}

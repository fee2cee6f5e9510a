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
    private final Map<String, TrackedServer> listed = new HashMap<>();
    private final Map<String, Resources> teamUsage = new HashMap<>();

    Collection<TrackedServer> servers() {
        return servers.values();
    }

    Optional<TrackedServer> server(BackendServer.Incarnation lifetime) {
        return Optional.ofNullable(servers.get(lifetime));
    }

    TrackedServer serverOrUnlisted(BackendServer.Incarnation lifetime) {
        return servers.computeIfAbsent(lifetime, key -> new TrackedServer(key, Optional.empty()));
    }

    /** The state of a server that is listed under an identifier. */
    Optional<TrackedServer> listed(String serverId) {
        return Optional.ofNullable(listed.get(serverId))
                .filter(state -> state.view().isPresent() && !state.over());
    }

    /** Notes the entry of a server in the list of live servers; empty when it is missing there. */
    void list(TrackedServer state, Optional<BackendServer> view) {
        state.setView(view);
        String id = state.incarnation().serverId();
        if (view.isPresent()) {
            listed.put(id, state);
        } else {
            listed.remove(id, state);
        }
    }

    /** Removes a server's lifetime. */
    void forget(TrackedServer state) {
        servers.remove(state.incarnation());
        listed.remove(state.incarnation().serverId(), state);
    }

    void add(Run run) {
        serverOrUnlisted(run.incarnation()).add(run);
        teamUsage.merge(team(run), run.item().spec().resources(), Resources::plus);
    }

    void remove(Run run) {
        TrackedServer state = servers.get(run.incarnation());
        if (state != null && state.run(run.id(), run.number()).isPresent()) {
            state.remove(run);
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

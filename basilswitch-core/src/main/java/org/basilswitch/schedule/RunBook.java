package org.basilswitch.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.job.Resources;

/** All runs that may be at work, by server lifetime, and what each team has running. */
final class RunBook {
    private final Map<BackendServer.Lifetime, ServerState> servers = new LinkedHashMap<>();
    private final Map<String, ServerState> listed = new HashMap<>();
    private final Map<String, Resources> teamUsage = new HashMap<>();

    Collection<ServerState> servers() {
        return servers.values();
    }

    Optional<ServerState> server(BackendServer.Lifetime lifetime) {
        return Optional.ofNullable(servers.get(lifetime));
    }

    ServerState serverOrUnlisted(BackendServer.Lifetime lifetime) {
        return servers.computeIfAbsent(lifetime, key -> new ServerState(key, Optional.empty()));
    }

    /** The state of a server that is listed under an identifier. */
    Optional<ServerState> listed(String serverId) {
        return Optional.ofNullable(listed.get(serverId))
                .filter(state -> state.view().isPresent() && !state.over());
    }

    /** Notes the entry of a server in the list of live servers; empty when it is missing there. */
    void list(ServerState state, Optional<BackendServer> view) {
        state.setView(view);
        String id = state.lifetime().serverId();
        if (view.isPresent()) {
            listed.put(id, state);
        } else {
            listed.remove(id, state);
        }
    }

    /** Removes a server's lifetime. */
    void forget(ServerState state) {
        servers.remove(state.lifetime());
        listed.remove(state.lifetime().serverId(), state);
    }

    void add(Run run) {
        serverOrUnlisted(run.lifetime()).add(run);
        teamUsage.merge(team(run), run.item().spec().resources(), Resources::plus);
    }

    void remove(Run run) {
        ServerState state = servers.get(run.lifetime());
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

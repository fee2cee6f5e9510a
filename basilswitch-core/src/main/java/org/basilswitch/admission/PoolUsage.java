package org.basilswitch.admission;

import java.util.HashMap;
import java.util.Map;

/** Running and waiting requests of one pool, by team, for one entry host or for the fleet. */
final class PoolUsage {
    private final Map<String, Counts> teams = new HashMap<>();
    private int running;
    private int waiting;

    /** Adds to a team's counts. */
    void add(String team, int runningChange, int waitingChange) {
        Counts counts = teams.computeIfAbsent(team, name -> new Counts());
        counts.running += runningChange;
        counts.waiting += waitingChange;
        running += runningChange;
        waiting += waitingChange;
    }

    /** Running requests of a team. */
    int running(String team) {
        Counts counts = teams.get(team);
        return counts == null ? 0 : counts.running;
    }

    /** Waiting requests of a team. */
    int waiting(String team) {
        Counts counts = teams.get(team);
        return counts == null ? 0 : counts.waiting;
    }

    /** Running requests of all teams. */
    int running() {
        return running;
    }

    /** Running and waiting requests of all teams. */
    int demand() {
        return running + waiting;
    }

    /** Running and waiting requests of a team. */
    int demand(String team) {
        return running(team) + waiting(team);
    }

    /** Teams seen so far. */
    Iterable<String> teams() {
        return teams.keySet();
    }

    private static final class Counts {
        private int running;
        private int waiting;
    }
}

package org.basilswitch.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Running and waiting requests and used slot time of one pool by team, for one entry host or for the fleet.
 *
 * <p>Between updates, slot time accrues by the number of running requests.
 */
final class PoolUsage {
    private final Map<String, Counts> teams = new HashMap<>();
    private int running;
    private int waiting;

    /** Adds to a team's counts at the given monotonic time. */
    void add(String team, int runningChange, int waitingChange, long nowNanos) {
        Counts counts = teams.computeIfAbsent(team, name -> new Counts(nowNanos));
        counts.advance(nowNanos);
        counts.running += runningChange;
        counts.waiting += waitingChange;
        running += runningChange;
        waiting += waitingChange;
    }

    /** Adds a correction to a team's slot time. */
    void adjustUsedNanos(String team, long usedNanos, long nowNanos) {
        teams.computeIfAbsent(team, name -> new Counts(nowNanos)).usedNanos += usedNanos;
    }

    /** Returns the slot time that a team has used until the given monotonic time, in nanoseconds. */
    long usedNanos(String team, long nowNanos) {
        Counts counts = teams.get(team);
        if (counts == null) {
            return 0;
        }
        counts.advance(nowNanos);
        return counts.usedNanos;
    }

    /** Returns the number of running requests of a team. */
    int running(String team) {
        Counts counts = teams.get(team);
        return counts == null ? 0 : counts.running;
    }

    /** Returns the number of waiting requests of a team. */
    int waiting(String team) {
        Counts counts = teams.get(team);
        return counts == null ? 0 : counts.waiting;
    }

    /** Returns the number of running requests of all teams. */
    int running() {
        return running;
    }

    /** Returns the number of running and waiting requests of all teams. */
    int demand() {
        return running + waiting;
    }

    /** Returns the number of running and waiting requests of a team. */
    int demand(String team) {
        return running(team) + waiting(team);
    }

    /** Returns whether a team has been seen. */
    boolean hasTeam(String team) {
        return teams.containsKey(team);
    }

    /** Returns the teams seen so far. */
    Iterable<String> teams() {
        return teams.keySet();
    }

    private static final class Counts {
        private int running;
        private int waiting;
        private long usedNanos;
        private long updatedNanos;

        private Counts(long nowNanos) {
            updatedNanos = nowNanos;
        }

        private void advance(long nowNanos) {
            usedNanos += running * (nowNanos - updatedNanos);
            updatedNanos = nowNanos;
        }
    }
}

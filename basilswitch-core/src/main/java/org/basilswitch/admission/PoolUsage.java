package org.basilswitch.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Running and waiting requests of one pool and the slot time used, by team, for one entry host or for the fleet.
 *
 * <p>Slot time grows with the running requests between updates.
 */
final class PoolUsage {
    private final Map<String, Counts> teams = new HashMap<>();
    private int running;
    private int waiting;

    /** Adds to a team's counts at a time. */
    void add(String team, int runningChange, int waitingChange, long nowNanos) {
        Counts counts = teams.computeIfAbsent(team, name -> new Counts(nowNanos));
        counts.advance(nowNanos);
        counts.running += runningChange;
        counts.waiting += waitingChange;
        running += runningChange;
        waiting += waitingChange;
    }

    /** Corrects a team's slot time. */
    void adjustUsedNanos(String team, long usedNanos, long nowNanos) {
        teams.computeIfAbsent(team, name -> new Counts(nowNanos)).usedNanos += usedNanos;
    }

    /** Slot time that a team has used until a time, in nanoseconds. */
    long usedNanos(String team, long nowNanos) {
        Counts counts = teams.get(team);
        if (counts == null) {
            return 0;
        }
        counts.advance(nowNanos);
        return counts.usedNanos;
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

    /** Whether a team has been seen. */
    boolean hasTeam(String team) {
        return teams.containsKey(team);
    }

    /** Teams seen so far. */
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

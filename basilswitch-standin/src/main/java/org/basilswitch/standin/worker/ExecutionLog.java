package org.basilswitch.standin.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Everything that one or several workers of a process ran, and how much of each team runs now; thread-safe. */
public final class ExecutionLog {
    private final Map<Long, ExecutionRecord> running = new HashMap<>();
    private final List<ExecutionRecord> ended = new ArrayList<>();
    private final Map<String, TeamCount> teams = new TreeMap<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private long nextNumber;

    private ExecutionLog() {}

    /** Creates an empty record. */
    public static ExecutionLog create() {
        return new ExecutionLog();
    }

    /**
     * A team's counts over the workers that share the record.
     *
     * @param running runs now
     * @param maxRunning most runs at a time
     * @param started runs started
     */
    public record TeamCount(int running, int maxRunning, long started) {
        private TeamCount withExecutionStarted() {
            return new TeamCount(running + 1, Math.max(maxRunning, running + 1), started + 1);
        }

        private TeamCount withExecutionEnded() {
            return new TeamCount(running - 1, maxRunning, started);
        }
    }

    /**
     * The whole record.
     *
     * @param teams counts by team
     * @param refused requests refused as not run, by reason
     * @param runs each run, those that have not ended included
     */
    public record Snapshot(Map<String, TeamCount> teams, Map<String, Long> refused, List<ExecutionRecord> runs) {}

    /** Records the start of a run; returns its number. */
    public synchronized long recordStart(ExecutionRecord run) {
        long number = nextNumber++;
        running.put(number, run);
        teams.put(
                run.team(),
                teams.getOrDefault(run.team(), new TeamCount(0, 0, 0)).withExecutionStarted());
        return number;
    }

    /** Records the end of a run; without effect when it has ended. */
    public synchronized void recordEnd(long number, long micros) {
        ExecutionRecord run = running.remove(number);
        if (run != null) {
            ended.add(run.withEnd(micros));
            teams.computeIfPresent(run.team(), (team, count) -> count.withExecutionEnded());
        }
    }

    /** Counts a refusal of a request that has not run. */
    public synchronized void recordRefusal(String reason) {
        refused.merge(reason, 1L, Long::sum);
    }

    /** Counts by team. */
    public synchronized Map<String, TeamCount> teams() {
        return new TreeMap<>(teams);
    }

    /** Copies the record. */
    public synchronized Snapshot snapshot() {
        List<ExecutionRecord> runs = new ArrayList<>(ended);
        runs.addAll(running.values());
        return new Snapshot(teams(), new TreeMap<>(refused), runs);
    }
}

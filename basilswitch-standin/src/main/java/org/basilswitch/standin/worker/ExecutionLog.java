package org.basilswitch.standin.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Thread-safe log of all executions on the workers of one process, with counts of each team's executions. */
public final class ExecutionLog {
    private final Map<Long, ExecutionRecord> running = new HashMap<>();
    private final List<ExecutionRecord> ended = new ArrayList<>();
    private final Map<String, TeamCount> teams = new TreeMap<>();
    private final Map<String, Long> refused = new TreeMap<>();
    private long nextNumber;

    private ExecutionLog() {}

    /** Creates an empty log. */
    public static ExecutionLog create() {
        return new ExecutionLog();
    }

    /**
     * A team's counts over the workers that share the log.
     *
     * @param running executions running now
     * @param maxRunning highest number of concurrent executions so far
     * @param started executions started so far
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
     * A copy of the log.
     *
     * @param teams counts by team
     * @param refused requests refused without being run, by reason
     * @param runs all executions, including those still running
     */
    public record Snapshot(Map<String, TeamCount> teams, Map<String, Long> refused, List<ExecutionRecord> runs) {}

    /** Records the start of an execution and returns its number. */
    public synchronized long recordStart(ExecutionRecord run) {
        long number = nextNumber++;
        running.put(number, run);
        teams.put(
                run.team(),
                teams.getOrDefault(run.team(), new TeamCount(0, 0, 0)).withExecutionStarted());
        return number;
    }

    /** Records the end of an execution; does nothing if it has already ended. */
    public synchronized void recordEnd(long number, long micros) {
        ExecutionRecord run = running.remove(number);
        if (run != null) {
            ended.add(run.withEnd(micros));
            teams.computeIfPresent(run.team(), (team, count) -> count.withExecutionEnded());
        }
    }

    /** Counts a request that was refused without being run. */
    public synchronized void recordRefusal(String reason) {
        refused.merge(reason, 1L, Long::sum);
    }

    /** Returns the counts by team. */
    public synchronized Map<String, TeamCount> teams() {
        return new TreeMap<>(teams);
    }

    /** Returns a copy of the log. */
    public synchronized Snapshot snapshot() {
        List<ExecutionRecord> runs = new ArrayList<>(ended);
        runs.addAll(running.values());
        return new Snapshot(teams(), new TreeMap<>(refused), runs);
    }
}

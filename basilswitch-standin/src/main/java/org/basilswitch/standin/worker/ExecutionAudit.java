package org.basilswitch.standin.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/** What the runs of all workers together show; workers of one machine share its wall clock. */
public final class ExecutionAudit {
    private final List<ExecutionRecord> runs;

    private ExecutionAudit(List<ExecutionRecord> runs) {
        this.runs = List.copyOf(runs);
    }

    /** Audits runs of any number of workers. */
    public static ExecutionAudit of(List<ExecutionRecord> runs) {
        return new ExecutionAudit(runs);
    }

    /** How many times each identifier of the load generator ran. */
    public Map<String, Long> runsByTestId() {
        return runs.stream()
                .filter(run -> !run.testId().isEmpty())
                .collect(Collectors.groupingBy(ExecutionRecord::testId, Collectors.counting()));
    }

    /** Runs by team. */
    public Map<String, Long> runsByTeam() {
        return runs.stream().collect(Collectors.groupingBy(ExecutionRecord::team, TreeMap::new, Collectors.counting()));
    }

    /** Most runs at a time of each team, over all workers; a run that has not ended runs until the end. */
    public Map<String, Integer> maxRunningByTeam() {
        return maxRunning(ExecutionRecord::team);
    }

    /** Most runs at a time of each worker. */
    public Map<String, Integer> maxRunningByWorker() {
        return maxRunning(ExecutionRecord::worker);
    }

    private Map<String, Integer> maxRunning(Function<ExecutionRecord, String> group) {
        List<Edge> edges = new ArrayList<>();
        for (ExecutionRecord run : runs) {
            edges.add(new Edge(run.startedMicros(), 1, group.apply(run)));
            if (run.endedMicros() > 0) {
                edges.add(new Edge(run.endedMicros(), -1, group.apply(run)));
            }
        }
        edges.sort(Comparator.comparingLong(Edge::micros).thenComparingInt(Edge::change));
        Map<String, Integer> running = new HashMap<>();
        Map<String, Integer> most = new TreeMap<>();
        for (Edge edge : edges) {
            int now = running.merge(edge.group(), edge.change(), Integer::sum);
            most.merge(edge.group(), now, Math::max);
        }
        return most;
    }

    private record Edge(long micros, int change, String group) {}
}

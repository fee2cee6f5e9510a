package org.basilswitch.standin.worker;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Evaluates the executions of several workers together. Their times are comparable only for workers on one machine,
 * which share its wall clock.
 */
public final class ExecutionAudit {
    private final List<ExecutionRecord> runs;

    private ExecutionAudit(List<ExecutionRecord> runs) {
        this.runs = List.copyOf(runs);
    }

    /** Creates an audit of the executions of any number of workers. */
    public static ExecutionAudit of(List<ExecutionRecord> runs) {
        return new ExecutionAudit(runs);
    }

    /** Returns the number of executions of each load generator identifier; executions without one are left out. */
    public Map<String, Long> runsByTestId() {
        return runs.stream()
                .filter(run -> !run.testId().isEmpty())
                .collect(Collectors.groupingBy(ExecutionRecord::testId, Collectors.counting()));
    }

    /** Returns the number of executions by team. */
    public Map<String, Long> runsByTeam() {
        return runs.stream().collect(Collectors.groupingBy(ExecutionRecord::team, TreeMap::new, Collectors.counting()));
    }

    /** Returns each team's peak of concurrent executions on all workers; one without an end counts as running. */
    public Map<String, Integer> maxRunningByTeam() {
        return maxRunning(ExecutionRecord::team);
    }

    /** Returns each worker's peak of concurrent executions. */
    public Map<String, Integer> maxRunningByWorker() {
        return maxRunning(ExecutionRecord::worker);
    }

    private Map<String, Integer> maxRunning(Function<ExecutionRecord, String> group) {
        List<Transition> transitions = new ArrayList<>();
        for (ExecutionRecord run : runs) {
            transitions.add(new Transition(run.startedMicros(), 1, group.apply(run)));
            if (run.endedMicros() > 0) {
                transitions.add(new Transition(run.endedMicros(), -1, group.apply(run)));
            }
        }
        transitions.sort(Comparator.comparingLong(Transition::micros).thenComparingInt(Transition::change));
        Map<String, Integer> running = new HashMap<>();
        Map<String, Integer> maximums = new TreeMap<>();
        for (Transition transition : transitions) {
            int current = running.merge(transition.group(), transition.change(), Integer::sum);
            maximums.merge(transition.group(), current, Math::max);
        }
        return maximums;
    }

    private record Transition(long micros, int change, String group) {}
}

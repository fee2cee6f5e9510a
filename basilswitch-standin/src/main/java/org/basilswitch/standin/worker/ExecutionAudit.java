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

package org.basilswitch.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.basilswitch.standin.worker.ExecutionAudit;
import org.basilswitch.standin.worker.ExecutionRecord;

/** Compares the outcomes that callers got with the executions that the workers recorded. */
public final class LoadAudit {
    private static final int MAX_EXAMPLES = 5;

    private final LoadResult load;
    private final ExecutionAudit runs;
    private final Map<String, Long> runsByTestId;
    private final Map<String, Integer> limits;

    private LoadAudit(LoadResult load, List<ExecutionRecord> runs, Map<String, Integer> limits) {
        this.load = load;
        this.runs = ExecutionAudit.of(runs);
        this.runsByTestId = this.runs.runsByTestId();
        this.limits = limits;
    }

    /** Creates an audit of a load against the executions of all workers and the teams' limits, in tasks. */
    public static LoadAudit of(LoadResult load, List<ExecutionRecord> runs, Map<String, Integer> limits) {
        return new LoadAudit(load, runs, limits);
    }

    /**
     * Result of one check.
     *
     * @param requirement requirement that the check verifies
     * @param violations number of cases that violate the requirement
     * @param examples up to five of these cases
     */
    public record Check(String requirement, long violations, List<String> examples) {
        /** Returns whether no case violates the requirement. */
        public boolean holds() {
            return violations == 0;
        }
    }

    /** Runs all checks. */
    public List<Check> checks() {
        return List.of(
                checkAllAccountedFor(),
                checkAtMostOnce(),
                checkNotRun(),
                checkAnsweredRan(),
                checkOwnAnswers(),
                checkLimits());
    }

    private Check checkAllAccountedFor() {
        long ended = load.results().size();
        long missing = Math.abs(load.sentRequests() - ended);
        return new Check(
                "answered + refused + unknown = sent", missing, missing == 0 ? List.of() : List.of("ended " + ended));
    }

    private Check checkAtMostOnce() {
        return check(
                "no non-idempotent request ran twice",
                result -> !result.stream().idempotent() && runCount(result) > 1);
    }

    private Check checkNotRun() {
        return check(
                "no request refused as not run has run",
                result -> result.outcome() instanceof Outcome.Refused && runCount(result) > 0);
    }

    private Check checkAnsweredRan() {
        return check(
                "each answered request has run",
                result -> result.outcome() instanceof Outcome.Answered && runCount(result) == 0);
    }

    private Check checkOwnAnswers() {
        return check("no caller got another's answer", result -> result.outcome() instanceof Outcome.Foreign);
    }

    private Check checkLimits() {
        List<String> over = new ArrayList<>();
        runs.maxRunningByTeam().forEach((team, maxRunning) -> {
            int limit = limits.getOrDefault(team, Integer.MAX_VALUE);
            if (maxRunning > limit) {
                over.add(team + " had " + maxRunning + " running, limit " + limit);
            }
        });
        return new Check("no team had more running than its limit", over.size(), over);
    }

    private long runCount(RequestResult result) {
        return runsByTestId.getOrDefault(result.testId(), 0L);
    }

    private Check check(String requirement, java.util.function.Predicate<RequestResult> violates) {
        List<RequestResult> violating = load.results().stream().filter(violates).toList();
        List<String> examples = violating.stream()
                .limit(MAX_EXAMPLES)
                .map(result -> result.testId() + " (" + result.stream().queue() + ", "
                        + result.outcome().kind() + " " + result.outcome().code() + ", sent " + result.attempts()
                        + ", ran " + runCount(result) + ")")
                .toList();
        return new Check(requirement, violating.size(), examples);
    }
}

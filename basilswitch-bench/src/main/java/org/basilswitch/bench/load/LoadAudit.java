package org.basilswitch.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.basilswitch.standin.worker.ExecutionAudit;
import org.basilswitch.standin.worker.ExecutionRecord;

/** Holds what callers were told against what the workers recorded. */
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

    /** Audits a load against the runs of all workers and the teams' upper limits. */
    public static LoadAudit of(LoadResult load, List<ExecutionRecord> runs, Map<String, Integer> limits) {
        return new LoadAudit(load, runs, limits);
    }

    /**
     * One promise and the cases that break it.
     *
     * @param promise what has to hold
     * @param broken number of cases that break it
     * @param examples some of them
     */
    public record Check(String requirement, long violations, List<String> examples) {
        /** Whether it holds. */
        public boolean holds() {
            return violations == 0;
        }
    }

    /** All checks. */
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
        runs.maxRunningByTeam().forEach((team, most) -> {
            int limit = limits.getOrDefault(team, Integer.MAX_VALUE);
            if (most > limit) {
                over.add(team + " ran " + most + " with a limit of " + limit);
            }
        });
        return new Check("no team had more running than its limit", over.size(), over);
    }

    private long runCount(RequestResult result) {
        return runsByTestId.getOrDefault(result.testId(), 0L);
    }

    private Check check(String promise, java.util.function.Predicate<RequestResult> breaks) {
        List<RequestResult> broken = load.results().stream().filter(breaks).toList();
        List<String> examples = broken.stream()
                .limit(MAX_EXAMPLES)
                .map(result -> result.testId() + " (" + result.stream().queue() + ", "
                        + result.outcome().kind() + " " + result.outcome().code() + ", sent " + result.attempts()
                        + ", ran " + runCount(result) + ")")
                .toList();
        return new Check(promise, broken.size(), examples);
    }
}

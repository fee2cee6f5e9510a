package org.basilswitch.bench.load;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.basilswitch.standin.worker.ExecutionAudit;
import org.basilswitch.standin.worker.ExecutionRecord;

/** Prints the counts, latencies and audit of a load as text. */
public final class LoadReport {
    private static final double MICROS_PER_MILLI = 1000.0;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final LoadResult load;
    private final List<ExecutionRecord> runs;
    private final Map<String, Integer> limits;

    private LoadReport(LoadResult load, List<ExecutionRecord> runs, Map<String, Integer> limits) {
        this.load = load;
        this.runs = runs;
        this.limits = limits;
    }

    /** Creates a report of a load, the executions that the workers recorded, and the teams' limits. */
    public static LoadReport of(LoadResult load, List<ExecutionRecord> runs, Map<String, Integer> limits) {
        return new LoadReport(load, runs, limits);
    }

    /** Prints the report; returns whether every check holds. */
    public boolean print(PrintWriter out) {
        printTeams(out);
        printReasons(out);
        printLatencies(out);
        boolean passed = printChecks(out);
        out.flush();
        return passed;
    }

    private void printTeams(PrintWriter out) {
        ExecutionAudit audit = ExecutionAudit.of(runs);
        Map<String, Integer> peakByTeam = audit.maxRunningByTeam();
        Map<String, Long> ran = audit.runsByTeam();
        out.printf(
                "%-20s %8s %8s %8s %8s %8s %8s %6s%n",
                "team", "sent", "answered", "refused", "unknown", "ran", "most", "limit");
        load.countsByTeam()
                .forEach((team, counts) -> out.printf(
                        "%-20s %8d %8d %8d %8d %8d %8d %6s%n",
                        team,
                        counts.sentRequests(),
                        counts.answeredRequests(),
                        counts.refusedRequests(),
                        counts.unknownRequests(),
                        ran.getOrDefault(team, 0L),
                        peakByTeam.getOrDefault(team, 0),
                        limits.containsKey(team) ? limits.get(team).toString() : "-"));
        out.printf("arrivals not sent at the bound of open requests: %d%n", load.notSent());
    }

    private void printReasons(PrintWriter out) {
        Map<String, Long> reasons = new TreeMap<>();
        for (RequestResult result : load.results()) {
            if (!(result.outcome() instanceof Outcome.Answered ok && ok.status() == 200)) {
                reasons.merge(result.outcome().kind() + " " + result.outcome().code(), 1L, Long::sum);
            }
        }
        reasons.forEach((reason, count) -> out.printf("  %-40s %8d%n", reason, count));
    }

    private void printLatencies(PrintWriter out) {
        Map<String, Histogram> histograms = new TreeMap<>();
        for (RequestResult result : load.results()) {
            if (result.outcome() instanceof Outcome.Answered) {
                histograms
                        .computeIfAbsent(result.stream().queue(), queue -> new Histogram(SIGNIFICANT_DIGITS))
                        .recordValue(micros(result.latency()));
            }
        }
        histograms.forEach((queue, histogram) -> out.printf(
                "queue %-16s answered %8d  p50 %8.1f ms  p99 %8.1f ms  max %8.1f ms%n",
                queue,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI));
    }

    private static long micros(Duration latency) {
        return latency.toNanos() / 1000;
    }

    private boolean printChecks(PrintWriter out) {
        List<LoadAudit.Check> checks = LoadAudit.of(load, runs, limits).checks();
        for (LoadAudit.Check check : checks) {
            out.printf("%-4s %s", check.holds() ? "ok" : "FAIL", check.requirement());
            out.println(
                    check.holds()
                            ? ""
                            : ": violated " + check.violations() + " times, for example " + check.examples());
        }
        return checks.stream().allMatch(LoadAudit.Check::holds);
    }
}

package org.basilswitch.bench.withdraw;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** Report of a run's samples and of whether the slowest met the target. */
public final class WithdrawReport {
    private static final double NANOS_PER_MS = 1e6;

    private final WithdrawOptions options;
    private final List<WithdrawSample> samples;
    private final long lostAnswers;
    private final long unansweredProbes;

    WithdrawReport(WithdrawOptions options, List<WithdrawSample> samples, long lostAnswers, long unansweredProbes) {
        this.options = options;
        this.samples = List.copyOf(samples);
        this.lostAnswers = lostAnswers;
        this.unansweredProbes = unansweredProbes;
    }

    /** Returns whether every sample met the target. */
    public boolean targetMet() {
        return samples.stream().allMatch(sample -> sample.refusedEverywhere().compareTo(options.target()) <= 0);
    }

    /** Returns the number of samples. */
    public int samples() {
        return samples.size();
    }

    /** Returns the number of answers that the store lost during the run. */
    public long lostAnswers() {
        return lostAnswers;
    }

    /** Returns the report as text, with the median, 99th percentile and maximum of each time. */
    public String text() {
        List<WithdrawSample> healthy =
                samples.stream().filter(sample -> !sample.storeFaulty()).toList();
        List<WithdrawSample> faulty =
                samples.stream().filter(WithdrawSample::storeFaulty).toList();
        int attempts = faulty.stream().mapToInt(WithdrawSample::attempts).sum();
        return String.format(
                        Locale.ROOT,
                        "key withdrawal, %d entry hosts, %d samples, store loses %.0f%% of its answers in half of them%n",
                        options.entryHosts(),
                        samples.size(),
                        100 * options.lostAnswerRatio())
                + row("refused by every entry host, store healthy", healthy, WithdrawSample::refusedEverywhere)
                + row("refused by every entry host, answers lost", faulty, WithdrawSample::refusedEverywhere)
                + row("in force reported to operator, store healthy", healthy, WithdrawSample::reportedInForce)
                + row("in force reported to operator, answers lost", faulty, WithdrawSample::reportedInForce)
                + String.format(
                        Locale.ROOT,
                        "probes without an answer in 1 s: %d; answers lost by the store: %d;"
                                + " attempts for %d withdrawals with lost answers: %d%n",
                        unansweredProbes,
                        lostAnswers,
                        faulty.size(),
                        attempts)
                + String.format(
                        Locale.ROOT,
                        "target: worst at most %d ms: %s%n",
                        options.target().toMillis(),
                        targetMet() ? "met" : "MISSED");
    }

    private static String row(String title, List<WithdrawSample> samples, Function<WithdrawSample, Duration> time) {
        List<Long> nanos =
                samples.stream().map(time).map(Duration::toNanos).sorted().toList();
        if (nanos.isEmpty()) {
            return "";
        }
        return String.format(
                Locale.ROOT,
                "  %-45s p50 %8.1f ms  p99 %8.1f ms  worst %8.1f ms%n",
                title,
                nanos.get(nanos.size() / 2) / NANOS_PER_MS,
                nanos.get(Math.min(nanos.size() - 1, nanos.size() * 99 / 100)) / NANOS_PER_MS,
                nanos.getLast() / NANOS_PER_MS);
    }
}

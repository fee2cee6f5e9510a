package org.basilswitch.bench.proxy;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * Compares an entry host with a pass-through proxy. Each runs on one event loop; rounds alternate between the two,
 * with the same load generator and backend server on separate event loops.
 */
public final class ProxyBench {
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final double LATENCY_LOAD_RATIO = 0.5;
    private static final double P50 = 50;
    private static final double P99 = 99;

    private final ProxyBenchOptions options;
    private final Consumer<String> progress;
    private long failedRequests;

    private ProxyBench(ProxyBenchOptions options, Consumer<String> progress) {
        this.options = options;
        this.progress = progress;
    }

    /**
     * Runs the measurement.
     *
     * @param options rounds, connections and body size
     * @param progress receives one line of text per round
     * @return the medians over the rounds
     */
    public static ProxyReport run(ProxyBenchOptions options, Consumer<String> progress) {
        return new ProxyBench(options, progress).measure();
    }

    private ProxyReport measure() {
        try (ProxyWorker worker = ProxyWorker.start(options.bodyBytes());
                BenchSite entry = BenchSite.start(worker.port(), options.connections());
                PassThrough passThrough = PassThrough.start(worker.port(), options.connections());
                ProxyLoad load = ProxyLoad.create(options.connections(), options.bodyBytes(), BenchSite.SECRET)) {
            load.saturate(entry, WARM_UP);
            load.saturate(passThrough, WARM_UP);
            Rounds entryRounds = new Rounds();
            Rounds passThroughRounds = new Rounds();
            measureSaturated(load, entry, passThrough, entryRounds, passThroughRounds);
            double rate = passThroughRounds.median(RoundResult::perSecond) * LATENCY_LOAD_RATIO;
            Rounds entryAtRate = new Rounds();
            Rounds passThroughAtRate = new Rounds();
            measureAtRate(load, entry, passThrough, rate, entryAtRate, passThroughAtRate);
            return new ProxyReport(
                    entryRounds.median(RoundResult::perSecond),
                    passThroughRounds.median(RoundResult::perSecond),
                    rate,
                    entryAtRate.median(result -> result.latencyMs(P99)),
                    passThroughAtRate.median(result -> result.latencyMs(P99)),
                    entryAtRate.median(result -> result.latencyMs(P50)),
                    passThroughAtRate.median(result -> result.latencyMs(P50)),
                    entryRounds.median(RoundResult::cpuMicros),
                    passThroughRounds.median(RoundResult::cpuMicros),
                    failedRequests,
                    entry.coldStart(),
                    liveHeapBytes());
        }
    }

    private void measureSaturated(
            ProxyLoad load,
            ProxyUnderTest entry,
            ProxyUnderTest passThrough,
            Rounds entryRounds,
            Rounds passThroughRounds) {
        for (int round = 1; round <= options.rounds(); round++) {
            entryRounds.add(report("entry host", load.saturate(entry, options.roundTime())));
            passThroughRounds.add(report("pass-through", load.saturate(passThrough, options.roundTime())));
        }
    }

    private void measureAtRate(
            ProxyLoad load,
            ProxyUnderTest entry,
            ProxyUnderTest passThrough,
            double rate,
            Rounds entryRounds,
            Rounds passThroughRounds) {
        for (int round = 1; round <= options.rounds(); round++) {
            entryRounds.add(report("entry host, half load", load.sendAtRate(entry, options.roundTime(), rate)));
            passThroughRounds.add(
                    report("pass-through, half load", load.sendAtRate(passThrough, options.roundTime(), rate)));
        }
    }

    private RoundResult report(String name, RoundResult result) {
        failedRequests += result.failed();
        progress.accept(String.format(
                java.util.Locale.ROOT,
                "%-24s %8.0f/s  p50 %7.3f ms  p99 %7.3f ms  cpu %6.1f us  failed %d",
                name,
                result.perSecond(),
                result.latencyMs(P50),
                result.latencyMs(P99),
                result.cpuMicros(),
                result.failed()));
        return result;
    }

    private static long liveHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Results of all rounds of one proxy at one kind of load. */
    private static final class Rounds {
        private final List<RoundResult> results = new ArrayList<>();

        private void add(RoundResult result) {
            results.add(result);
        }

        private double median(ToDoubleFunction<RoundResult> figure) {
            double[] sorted = results.stream().mapToDouble(figure).sorted().toArray();
            return sorted[sorted.length / 2];
        }
    }
}

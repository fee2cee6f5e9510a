package org.basilswitch.bench.proxy;

import java.time.Duration;
import java.util.Locale;

/**
 * Figures of one run beside their targets.
 *
 * @param entryPerSecond median throughput through the entry host
 * @param passThroughPerSecond median throughput through the bare pass-through
 * @param ratePerSecond rate of the latency rounds
 * @param entryP99Ms median of the entry host's 99th percentiles
 * @param passThroughP99Ms median of the pass-through's 99th percentiles
 * @param entryP50Ms median of the entry host's medians
 * @param passThroughP50Ms median of the pass-through's medians
 * @param entryCpuMicros processor time of the entry host's event loop for each request at full load, in microseconds
 * @param passThroughCpuMicros the same of the pass-through's
 * @param failedRequests requests without a good answer, in all rounds
 * @param coldStart time from the start of the process until ready
 * @param liveHeapBytes live heap after a collection with the load's own included
 */
public record ProxyReport(
        double entryPerSecond,
        double passThroughPerSecond,
        double ratePerSecond,
        double entryP99Ms,
        double passThroughP99Ms,
        double entryP50Ms,
        double passThroughP50Ms,
        double entryCpuMicros,
        double passThroughCpuMicros,
        long failedRequests,
        Duration coldStart,
        long liveHeapBytes) {

    private static final double MIN_THROUGHPUT_RATIO = 0.85;
    private static final double MAX_P99_RATIO = 1.5;
    private static final Duration MAX_COLD_START = Duration.ofSeconds(3);
    private static final double MAX_HEAP_MB = 32;
    private static final double BYTES_PER_MB = 1024.0 * 1024.0;

    /** Throughput of the entry host as a part of the pass-through's. */
    public double throughputRatio() {
        return entryPerSecond / passThroughPerSecond;
    }

    /** The entry host's 99th percentile as a multiple of the pass-through's. */
    public double p99Ratio() {
        return entryP99Ms / passThroughP99Ms;
    }

    private double heapMb() {
        return liveHeapBytes / BYTES_PER_MB;
    }

    /** Whether every target is met and no request failed. */
    public boolean targetMet() {
        return throughputRatio() >= MIN_THROUGHPUT_RATIO
                && p99Ratio() <= MAX_P99_RATIO
                && coldStart.compareTo(MAX_COLD_START) < 0
                && heapMb() < MAX_HEAP_MB
                && failedRequests == 0;
    }

    /** The figures as a table. */
    public String text() {
        return String.format(
                Locale.ROOT,
                """
                figure                              entry host  pass-through   ratio  target
                throughput, requests/s              %10.0f  %12.0f  %6.2f  >= %.2f  %s
                p99 at %6.0f requests/s, ms        %10.3f  %12.3f  %6.2f  <= %.2f  %s
                p50 at the same rate, ms            %10.3f  %12.3f  %6.2f
                processor time a request, us        %10.1f  %12.1f  %6.2f
                cold start to ready, s              %10.2f                        <  %.2f  %s
                live heap, load included, MB        %10.1f                        <  %.0f    %s
                requests failed                     %10d                        =  0     %s
                """,
                entryPerSecond,
                passThroughPerSecond,
                throughputRatio(),
                MIN_THROUGHPUT_RATIO,
                verdict(throughputRatio() >= MIN_THROUGHPUT_RATIO),
                ratePerSecond,
                entryP99Ms,
                passThroughP99Ms,
                p99Ratio(),
                MAX_P99_RATIO,
                verdict(p99Ratio() <= MAX_P99_RATIO),
                entryP50Ms,
                passThroughP50Ms,
                entryP50Ms / passThroughP50Ms,
                entryCpuMicros,
                passThroughCpuMicros,
                entryCpuMicros / passThroughCpuMicros,
                coldStart.toMillis() / 1000.0,
                MAX_COLD_START.toMillis() / 1000.0,
                verdict(coldStart.compareTo(MAX_COLD_START) < 0),
                heapMb(),
                MAX_HEAP_MB,
                verdict(heapMb() < MAX_HEAP_MB),
                failedRequests,
                verdict(failedRequests == 0));
    }

    private static String verdict(boolean met) {
        return met ? "met" : "MISSED";
    }
}

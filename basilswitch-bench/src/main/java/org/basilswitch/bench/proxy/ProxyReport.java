package org.basilswitch.bench.proxy;

import java.time.Duration;
import java.util.Locale;

/**
 * Results of one proxy benchmark, with their targets.
 *
 * @param entryPerSecond median throughput through the entry host, in requests per second
 * @param passThroughPerSecond median throughput through the pass-through, in requests per second
 * @param ratePerSecond rate of the latency rounds, in requests per second
 * @param entryP99Ms median over the rounds of the entry host's 99th percentile of latency, in milliseconds
 * @param passThroughP99Ms median over the rounds of the pass-through's 99th percentile of latency, in milliseconds
 * @param entryP50Ms median over the rounds of the entry host's median latency, in milliseconds
 * @param passThroughP50Ms median over the rounds of the pass-through's median latency, in milliseconds
 * @param entryCpuMicros processor time of the entry host's event loop per request at full load, in microseconds
 * @param passThroughCpuMicros processor time of the pass-through's event loop per request at full load, in
 *     microseconds
 * @param failedRequests number of requests not answered with status 200, in all rounds
 * @param coldStart time from the start of the process until the entry host was ready
 * @param liveHeapBytes heap in use after a garbage collection, the load generator's included, in bytes
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

    /** Returns the throughput of the entry host divided by the pass-through's. */
    public double throughputRatio() {
        return entryPerSecond / passThroughPerSecond;
    }

    /** Returns the entry host's 99th percentile of latency divided by the pass-through's. */
    public double p99Ratio() {
        return entryP99Ms / passThroughP99Ms;
    }

    private double heapMb() {
        return liveHeapBytes / BYTES_PER_MB;
    }

    /** Returns whether every target is met and no request failed. */
    public boolean targetMet() {
        return throughputRatio() >= MIN_THROUGHPUT_RATIO
                && p99Ratio() <= MAX_P99_RATIO
                && coldStart.compareTo(MAX_COLD_START) < 0
                && heapMb() < MAX_HEAP_MB
                && failedRequests == 0;
    }

    /** Returns the results as a table. */
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

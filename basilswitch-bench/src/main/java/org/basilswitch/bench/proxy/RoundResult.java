package org.basilswitch.bench.proxy;

import java.time.Duration;

import org.HdrHistogram.Histogram;

/**
 * Outcome of a round.
 *
 * @param answered requests answered with status 200
 * @param failed requests answered otherwise or not at all
 * @param duration length of the round
 * @param cpuNanos processor time that the proxy's event loop used, in nanoseconds
 * @param latencies time from when a request was due to its whole answer, in nanoseconds
 */
record RoundResult(long answered, long failed, Duration duration, long cpuNanos, Histogram latencies) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MS = 1e6;

    double perSecond() {
        return answered * NANOS_PER_SECOND / duration.toNanos();
    }

    /** Processor time of the proxy's event loop for each request, in microseconds. */
    double cpuMicros() {
        return cpuNanos / NANOS_PER_MICRO / Math.max(1, answered);
    }

    double latencyMs(double percentile) {
        return latencies.getValueAtPercentile(percentile) / NANOS_PER_MS;
    }
}

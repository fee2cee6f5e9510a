package org.basilswitch.bench.proxy;

import java.time.Duration;

import org.HdrHistogram.Histogram;

/**
 * Result of one round of load on one proxy.
 *
 * @param answered number of requests answered with status 200
 * @param failed number of requests answered with another status or not at all
 * @param duration duration of the round
 * @param cpuNanos processor time that the proxy's event loop used, in nanoseconds
 * @param latencies times from when a request was due to its complete answer, in nanoseconds
 */
record RoundResult(long answered, long failed, Duration duration, long cpuNanos, Histogram latencies) {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MS = 1e6;

    double perSecond() {
        return answered * NANOS_PER_SECOND / duration.toNanos();
    }

    /** Returns the processor time of the proxy's event loop per answered request, in microseconds. */
    double cpuMicros() {
        return cpuNanos / NANOS_PER_MICRO / Math.max(1, answered);
    }

    double latencyMs(double percentile) {
        return latencies.getValueAtPercentile(percentile) / NANOS_PER_MS;
    }
}

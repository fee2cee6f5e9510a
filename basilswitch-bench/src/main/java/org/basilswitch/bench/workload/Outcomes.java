package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.basilswitch.dispatch.Refusal;

/** What became of the requests of a run, or of one team or period of it. */
public final class Outcomes {
    private static final long MAX_LATENCY_MICROS = 600_000_000;

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Map<String, Long> refusals = new TreeMap<>();
    private long sent;
    private long onTime;
    private long late;

    void recordSent() {
        sent++;
    }

    void recordAnswer(Duration latency, boolean withinDeadline) {
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, latency.toNanos() / 1_000));
        if (withinDeadline) {
            onTime++;
        } else {
            late++;
        }
    }

    void recordRefusal(Refusal refusal) {
        refusals.merge(refusal.code().text() + "/" + refusal.outcome().text(), 1L, Long::sum);
    }

    /** Requests submitted. */
    public long requests() {
        return sent;
    }

    /** Requests answered before their deadline. */
    public long onTime() {
        return onTime;
    }

    /** Requests refused, for any reason. */
    public long refused() {
        return refusals.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Refusals by code and outcome. */
    public Map<String, Long> refusals() {
        return refusals;
    }

    /** Part of the requests that was answered before its deadline. */
    public double onTimeRatio() {
        return sent == 0 ? 1 : (double) onTime / sent;
    }

    /** Part of the requests that was refused. */
    public double refusedRatio() {
        return sent == 0 ? 0 : (double) refused() / sent;
    }

    /** Latency of answers at a percentile, in milliseconds. */
    public double latencyMs(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
    }
}

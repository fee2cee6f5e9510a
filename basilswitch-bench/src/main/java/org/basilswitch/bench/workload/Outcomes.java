package org.basilswitch.bench.workload;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.basilswitch.dispatch.Refusal;

/** Counts the requests of a run or of one of its teams by outcome, and records the latency of answers. */
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

    /** Returns the number of requests submitted. */
    public long requests() {
        return sent;
    }

    /** Returns the number of requests answered within their deadline. */
    public long onTime() {
        return onTime;
    }

    /** Returns the number of requests refused, for any reason. */
    public long refused() {
        return refusals.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the number of refusals by code and outcome. */
    public Map<String, Long> refusals() {
        return refusals;
    }

    /** Returns the ratio of requests answered within their deadline; 1 without requests. */
    public double onTimeRatio() {
        return sent == 0 ? 1 : (double) onTime / sent;
    }

    /** Returns the ratio of requests refused; 0 without requests. */
    public double refusedRatio() {
        return sent == 0 ? 0 : (double) refused() / sent;
    }

    /** Returns a percentile of the answers' latency, in milliseconds. */
    public double latencyMs(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
    }
}

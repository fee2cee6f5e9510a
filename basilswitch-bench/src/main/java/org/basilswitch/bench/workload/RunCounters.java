package org.basilswitch.bench.workload;

import java.util.Map;
import java.util.TreeMap;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;

/** Telemetry that adds up the counters of all entry hosts of a run. */
public final class RunCounters implements Telemetry {
    private final Map<String, Long> counts = new TreeMap<>();
    private long attempts;
    private long attemptsAcrossZones;

    @Override
    public void event(EventCode code, String detail) {}

    @Override
    public void count(CounterCode counter, String tag) {
        counts.merge(counter.name(), 1L, Long::sum);
    }

    void recordAttempt(boolean acrossZones) {
        attempts++;
        if (acrossZones) {
            attemptsAcrossZones++;
        }
    }

    /** Returns the value of a counter, summed over its tags. */
    public long count(CounterCode counter) {
        return counts.getOrDefault(counter.name(), 0L);
    }

    /** Returns the number of attempts sent to workers, retries included. */
    public long attempts() {
        return attempts;
    }

    /** Returns the ratio of attempts sent to another availability zone; 0 without attempts. */
    public double crossZoneRatio() {
        return attempts == 0 ? 0 : (double) attemptsAcrossZones / attempts;
    }
}

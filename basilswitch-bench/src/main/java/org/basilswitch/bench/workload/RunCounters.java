package org.basilswitch.bench.workload;

import java.util.Map;
import java.util.TreeMap;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;

/** Counts of a run across its entry hosts. */
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

    /** Value of a counter over all its tags. */
    public long count(CounterCode counter) {
        return counts.getOrDefault(counter.name(), 0L);
    }

    /** Requests sent to workers, repeated ones included. */
    public long attempts() {
        return attempts;
    }

    /** Part of the attempts that went to another availability zone. */
    public double crossZoneRatio() {
        return attempts == 0 ? 0 : (double) attemptsAcrossZones / attempts;
    }
}

package org.basilswitch.locality;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Measures how much processor time is asked for near the data of each rack, as an exponentially decayed mean. */
public final class RackDemand {
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(10);
    /** Time over which the first measurements are averaged. */
    private static final Duration MIN_WINDOW = Duration.ofSeconds(2);

    private final Map<String, Mean> byRack = new HashMap<>();
    private long firstNanos;

    private record Mean(double coreMs, long atNanos) {
        private double coreMsAt(long nowNanos) {
            return coreMs * Math.exp(-Math.max(0, nowNanos - atNanos) / (double) TIME_CONSTANT.toNanos());
        }
    }

    private RackDemand() {}

    /** Creates a measurement without demand. */
    public static RackDemand create() {
        return new RackDemand();
    }

    /**
     * Adds the work of an item whose data is on a rack.
     *
     * @param coreMs processor time, core-milliseconds
     */
    public void add(String rack, double coreMs, long nowNanos) {
        firstNanos = byRack.isEmpty() ? nowNanos : firstNanos;
        byRack.merge(
                rack,
                new Mean(coreMs, nowNanos),
                (past, added) -> new Mean(past.coreMsAt(nowNanos) + added.coreMs, nowNanos));
    }

    /** Returns whether any work has asked for a rack. */
    public boolean isEmpty() {
        return byRack.isEmpty();
    }

    /** Returns the processors asked for near a rack's data as a fraction of those there, at most 1. */
    public double load(String rack, double rackCores, long nowNanos) {
        return Math.min(1, cores(rack, nowNanos) / Math.max(1, rackCores));
    }

    /** Returns the mean number of processors asked for near a rack's data. */
    public double cores(String rack, long nowNanos) {
        Mean mean = byRack.get(rack);
        if (mean == null) {
            return 0;
        }
        double windows = Math.max(MIN_WINDOW.toNanos(), nowNanos - firstNanos) / (double) TIME_CONSTANT.toNanos();
        // The weight of the time since the first measurement.
        double windowMs = TIME_CONSTANT.toMillis() * (1 - Math.exp(-windows));
        return mean.coreMsAt(nowNanos) / windowMs;
    }
}

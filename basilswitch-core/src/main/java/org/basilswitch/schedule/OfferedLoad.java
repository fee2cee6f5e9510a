package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Measures the work submitted to each pool per second and projects it, as the number of cores that it keeps busy. */
final class OfferedLoad {
    /** Window over which arrivals are summed; two windows are kept to measure the trend. */
    private static final Duration WINDOW = Duration.ofMillis(1000);

    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();

    private record Arrival(double work, long atNanos) {}

    /** Adds the work of a submitted job, in core-milliseconds. */
    void add(String pool, double work, long nowNanos) {
        arrivals.computeIfAbsent(pool, name -> new ArrayDeque<>()).add(new Arrival(work, nowNanos));
    }

    /**
     * Returns the cores that the submitted work will keep busy after a lead time, by linear extrapolation of the
     * increase between the last two windows. The result is between one and two times the current value; zero for an
     * unknown pool.
     */
    double projectedCores(String pool, Duration leadTime, long nowNanos) {
        Deque<Arrival> poolArrivals = arrivals.get(pool);
        if (poolArrivals == null) {
            return 0;
        }
        long windowNanos = WINDOW.toNanos();
        while (!poolArrivals.isEmpty() && nowNanos - poolArrivals.peek().atNanos > 2 * windowNanos) {
            poolArrivals.poll();
        }
        double recentWork = 0;
        double earlierWork = 0;
        for (Arrival arrival : poolArrivals) {
            if (nowNanos - arrival.atNanos <= windowNanos) {
                recentWork += arrival.work;
            } else {
                earlierWork += arrival.work;
            }
        }
        double currentCores = recentWork / WINDOW.toMillis();
        double slope = Math.max(0, recentWork - earlierWork) / WINDOW.toMillis();
        double windows = leadTime.toMillis() / (double) WINDOW.toMillis();
        return Math.min(currentCores * 2, currentCores + slope * windows);
    }
}

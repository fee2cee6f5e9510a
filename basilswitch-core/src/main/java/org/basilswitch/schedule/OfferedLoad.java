package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** The work that callers hand in for each pool a second, and where it is heading: processors it keeps busy. */
final class OfferedLoad {
    private static final Duration WINDOW = Duration.ofMillis(1000);

    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();

    private record Arrival(double work, long atNanos) {}

    /** Adds a job's work, core-milliseconds. */
    void add(String pool, double work, long nowNanos) {
        arrivals.computeIfAbsent(pool, name -> new ArrayDeque<>()).add(new Arrival(work, nowNanos));
    }

    /**
     * Processors that the work handed in keeps busy some time from now, if it goes on rising as in the last second; no
     * less than it keeps busy now.
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

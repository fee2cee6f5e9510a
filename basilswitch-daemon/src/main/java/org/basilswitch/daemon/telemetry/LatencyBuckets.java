package org.basilswitch.daemon.telemetry;

import java.time.Duration;
import java.util.stream.LongStream;

/** Upper bounds of the buckets of the latency histograms. */
final class LatencyBuckets {
    private static final long[] UPPER_BOUNDS_MS = {
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 60_000
    };

    private LatencyBuckets() {}

    static Duration[] upperBounds() {
        return LongStream.of(UPPER_BOUNDS_MS).mapToObj(Duration::ofMillis).toArray(Duration[]::new);
    }
}

package org.basilswitch.limit;

import java.time.Duration;

import org.basilswitch.time.Clock;

/** Spaces this host's allotment writes so that all hosts together stay within the store's rate. */
final class WriteRateLimiter {
    private final Clock clock;
    private final Duration interval;
    private final int burst;
    private long earliestNanos;

    WriteRateLimiter(Clock clock, int writesPerSecond, int burst) {
        this.clock = clock;
        this.interval = Duration.ofSeconds(1).dividedBy(writesPerSecond);
        this.burst = burst;
        this.earliestNanos =
                clock.monotonicNanos() - interval.multipliedBy(burst).toNanos();
    }

    /** Books the next write; returns the time to wait before it. */
    Duration reserve() {
        long now = clock.monotonicNanos();
        long slot = Math.max(earliestNanos, now - interval.multipliedBy(burst).toNanos());
        earliestNanos = slot + interval.toNanos();
        return Duration.ofNanos(Math.max(0, slot - now));
    }
}

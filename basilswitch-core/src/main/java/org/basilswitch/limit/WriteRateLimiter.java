package org.basilswitch.limit;

import java.time.Duration;

import org.basilswitch.time.Clock;

/** Spaces this host's allotment writes so that all hosts together stay within the store's rate. */
final class WriteRateLimiter {
    private final Clock clock;
    private final Duration interval;
    private final int burstWrites;
    private long nextSlotNanos;

    WriteRateLimiter(Clock clock, int writesPerSecond, int burst) {
        this.clock = clock;
        this.interval = Duration.ofSeconds(1).dividedBy(writesPerSecond);
        this.burstWrites = burst;
        this.nextSlotNanos =
                clock.monotonicNanos() - interval.multipliedBy(burst).toNanos();
    }

    /** Books the next write; returns the time to wait before it. */
    Duration reserve() {
        long now = clock.monotonicNanos();
        long slot =
                Math.max(nextSlotNanos, now - interval.multipliedBy(burstWrites).toNanos());
        nextSlotNanos = slot + interval.toNanos();
        return Duration.ofNanos(Math.max(0, slot - now));
    }
}

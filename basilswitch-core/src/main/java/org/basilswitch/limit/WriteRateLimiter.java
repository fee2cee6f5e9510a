package org.basilswitch.limit;

import java.time.Duration;

import org.basilswitch.time.Clock;

/**
 * Limits the rate of this host's allotment writes, so that all hosts together stay within the store's rate. It is a
 * token bucket kept as the time of the next slot, as in the generic cell rate algorithm (ITU-T I.371).
 */
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

    /** Reserves a slot for the next write; returns the delay until the slot. */
    Duration reserve() {
        long now = clock.monotonicNanos();
        long slot =
                Math.max(nextSlotNanos, now - interval.multipliedBy(burstWrites).toNanos());
        nextSlotNanos = slot + interval.toNanos();
        return Duration.ofNanos(Math.max(0, slot - now));
    }
}

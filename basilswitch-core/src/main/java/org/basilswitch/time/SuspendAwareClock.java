package org.basilswitch.time;

import java.time.Duration;
import java.time.Instant;

/**
 * A clock whose monotonic time includes the time for which the host was suspended.
 *
 * <p>The monotonic clock of Linux stands still during a suspension (clock_gettime(2), CLOCK_MONOTONIC) while the time
 * of day moves on. A step of the time of day can't be told from a suspension; it lets leases end early, never late.
 */
public final class SuspendAwareClock implements Clock {
    /** Differences below this are adjustments of the time of day, which are made in small steps. */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(150).toNanos();

    private final Clock clock;
    private long lastMonotonicNanos;
    private long lastWallMs;
    private long suspendedNanos;

    private SuspendAwareClock(Clock clock) {
        this.clock = clock;
        this.lastMonotonicNanos = clock.monotonicNanos();
        this.lastWallMs = clock.millis();
    }

    /** Creates a clock over the process's clock. */
    public static SuspendAwareClock of(Clock clock) {
        return new SuspendAwareClock(clock);
    }

    @Override
    public Instant instant() {
        return clock.instant();
    }

    @Override
    public long monotonicNanos() {
        long monotonicNanos = clock.monotonicNanos();
        long wallMs = clock.millis();
        long elapsedNanos = monotonicNanos - lastMonotonicNanos;
        long missingNanos = Duration.ofMillis(wallMs - lastWallMs).toNanos() - elapsedNanos;
        if (missingNanos > TOLERANCE_NANOS) {
            suspendedNanos += missingNanos;
        }
        lastMonotonicNanos = monotonicNanos;
        lastWallMs = wallMs;
        return monotonicNanos + suspendedNanos;
    }
}

package org.basilswitch.time;

import java.time.Duration;
import java.time.Instant;

/**
 * A clock whose monotonic time includes the time during which the host was suspended.
 *
 * <p>On Linux the monotonic clock does not advance during a suspension (clock_gettime(2), CLOCK_MONOTONIC) but the
 * wall clock does. A forward step of the wall clock can't be distinguished from a suspension and is counted as one, so
 * this time may run ahead of real time. It is for leases that this host holds, which then end early. The end of a lease
 * that another process holds is waited for on a clock that never runs ahead.
 */
public final class SuspendAwareClock implements Clock {
    /** Differences up to this are taken as gradual adjustments of the wall clock and not as a suspension. */
    private static final long TOLERANCE_NANOS = Duration.ofMillis(150).toNanos();

    /** Time within which both clocks are read; a reading that takes longer is repeated. */
    private static final long MAX_READING_NANOS = Duration.ofMillis(20).toNanos();

    /** Number of repeated readings, so that a host that stalls again and again still gets a time. */
    private static final int MAX_REPEATS = 3;

    private final Clock clock;
    private final JumpObserver jumpObserver;
    private long lastMonotonicNanos;
    private long lastWallMs;
    private long suspendedNanos;

    /** Observer of differences between the wall clock and the monotonic clock. */
    @FunctionalInterface
    public interface JumpObserver {
        /**
         * Called when the wall clock has jumped against the monotonic clock between two readings.
         *
         * @param jump time by which the wall clock is ahead of before; negative when it was set back
         */
        void onJump(Duration jump);
    }

    private SuspendAwareClock(Clock clock, JumpObserver jumpObserver) {
        this.clock = clock;
        this.jumpObserver = jumpObserver;
        this.lastMonotonicNanos = clock.monotonicNanos();
        this.lastWallMs = clock.millis();
    }

    /** Creates a clock that corrects another clock, whose monotonic time may exclude suspensions. */
    public static SuspendAwareClock of(Clock clock) {
        return of(clock, jump -> {});
    }

    /** Creates a clock that also reports jumps of the wall clock. */
    public static SuspendAwareClock of(Clock clock, JumpObserver jumpObserver) {
        return new SuspendAwareClock(clock, jumpObserver);
    }

    @Override
    public Instant instant() {
        return clock.instant();
    }

    @Override
    public long monotonicNanos() {
        long monotonicNanos = clock.monotonicNanos();
        long wallMs = clock.millis();
        // A pause between the two readings would look like a suspension.
        for (int i = 0; i < MAX_REPEATS; i++) {
            long againNanos = clock.monotonicNanos();
            if (againNanos - monotonicNanos <= MAX_READING_NANOS) {
                break;
            }
            monotonicNanos = againNanos;
            wallMs = clock.millis();
        }
        long elapsedNanos = monotonicNanos - lastMonotonicNanos;
        long missingNanos = Duration.ofMillis(wallMs - lastWallMs).toNanos() - elapsedNanos;
        if (missingNanos > TOLERANCE_NANOS) {
            suspendedNanos += missingNanos;
        }
        lastMonotonicNanos = monotonicNanos;
        lastWallMs = wallMs;
        long correctedNanos = monotonicNanos + suspendedNanos;
        if (Math.abs(missingNanos) > TOLERANCE_NANOS) {
            // The observer may read this clock, so the reading is complete before it is called.
            jumpObserver.onJump(Duration.ofNanos(missingNanos));
        }
        return correctedNanos;
    }
}

package org.basilswitch.daemon;

import java.time.Instant;

import org.basilswitch.time.Clock;

/** The wall clock and the monotonic clock of the machine. */
public final class SystemClock implements Clock {
    private SystemClock() {}

    /** Creates a clock. */
    public static SystemClock create() {
        return new SystemClock();
    }

    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }
}

package org.basilswitch.time;

import java.time.Duration;
import java.time.Instant;

/**
 * A host's clock whose wall time differs from its monotonic time by an offset that a test may change. A forward jump is
 * also what a process sees whose monotonic clock stood still while its host was suspended.
 */
public final class SteppedClock implements Clock {
    private final Clock trueTime;
    private Duration wallOffset;

    /** Creates a clock with the monotonic time of another one. */
    public SteppedClock(Clock trueTime, Duration wallOffset) {
        this.trueTime = trueTime;
        this.wallOffset = wallOffset;
    }

    /** Sets the offset of the wall clock from now on. */
    public void setWallOffset(Duration offset) {
        wallOffset = offset;
    }

    @Override
    public Instant instant() {
        return trueTime.instant().plus(wallOffset);
    }

    @Override
    public long monotonicNanos() {
        return trueTime.monotonicNanos();
    }
}

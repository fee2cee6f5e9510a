package org.basilswitch.claim;

import java.time.Duration;
import java.time.Instant;

import org.basilswitch.time.Clock;

/** A host's clock whose wall time differs from the true time by an offset that a test may change. */
final class SteppedClock implements Clock {
    private final Clock trueTime;
    private Duration wallOffset;

    SteppedClock(Clock trueTime, Duration wallOffset) {
        this.trueTime = trueTime;
        this.wallOffset = wallOffset;
    }

    void setWallOffset(Duration offset) {
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

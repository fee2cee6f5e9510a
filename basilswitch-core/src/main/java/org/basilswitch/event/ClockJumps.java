package org.basilswitch.event;

import org.basilswitch.time.SuspendAwareClock;

/** Logs and counts jumps of a host's wall clock against its monotonic clock. */
public final class ClockJumps {
    private ClockJumps() {}

    /** Returns an observer that reports jumps to the given telemetry. */
    public static SuspendAwareClock.JumpObserver reportTo(Telemetry telemetry) {
        return jump -> {
            telemetry.count(CounterCode.CLOCK_JUMPS, jump.isNegative() ? "backward" : "forward");
            telemetry.event(EventCode.CLOCK_JUMPED, "jumpMs=" + jump.toMillis());
        };
    }
}

package org.basilswitch.dispatch;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;

/** Checks invariants, and counts and logs each violation. */
final class Invariants {
    private final Telemetry telemetry;

    Invariants(Telemetry telemetry) {
        this.telemetry = telemetry;
    }

    /** Returns whether the condition holds; counts and logs a violation when it does not. */
    boolean check(boolean holds, String invariant, String detail) {
        if (!holds) {
            telemetry.count(CounterCode.INVARIANT_VIOLATIONS, invariant);
            telemetry.event(EventCode.INVARIANT_VIOLATED, "invariant=" + invariant + " " + detail);
        }
        return holds;
    }
}

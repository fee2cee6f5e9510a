package org.basilswitch.dispatch;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;

/** Checks of what must always hold, counted and logged when it does not. */
final class Invariants {
    private final Telemetry telemetry;

    Invariants(Telemetry telemetry) {
        this.telemetry = telemetry;
    }

    /** Counts a violation unless the condition holds; returns the condition. */
    boolean check(boolean holds, String invariant, String detail) {
        if (!holds) {
            telemetry.count(CounterCode.INVARIANT_VIOLATIONS, invariant);
            telemetry.event(EventCode.INVARIANT_VIOLATED, "invariant=" + invariant + " " + detail);
        }
        return holds;
    }
}

package org.basilswitch.overload;

import java.time.Duration;

/** Whether a job is taken. */
public sealed interface Verdict {
    /** The job is taken. */
    record Admitted() implements Verdict {}

    /**
     * The job would end after the time for which it is of use to its caller.
     *
     * @param predictedEndMs time to its end, as predicted in its favour, ms
     * @param usefulMs time within which its end is of some use to its caller, ms
     * @param retryAfter time after which room for it is expected
     */
    record TurnedAway(double predictedEndMs, double usefulMs, Duration retryAfter) implements Verdict {}
}

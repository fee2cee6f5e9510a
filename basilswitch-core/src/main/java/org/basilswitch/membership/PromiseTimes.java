package org.basilswitch.membership;

import java.time.Duration;

/**
 * Durations of a promise at its holder and at its granter.
 *
 * @param holderNanos time for which the holder relies on it, from the sending of the heartbeat, in nanoseconds
 * @param granterNanos time for which the granter keeps it, from the arrival of the heartbeat, in nanoseconds
 */
public record PromiseTimes(long holderNanos, long granterNanos) {

    /** Shortens the nominal time by the clock drift bound for the holder and lengthens it for the granter. */
    public static PromiseTimes of(Duration promiseTime, double clockDriftRatio) {
        long nanos = promiseTime.toNanos();
        return new PromiseTimes((long) (nanos * (1 - clockDriftRatio)), (long) (nanos * (1 + clockDriftRatio)));
    }
}

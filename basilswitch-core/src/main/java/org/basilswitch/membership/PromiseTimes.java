package org.basilswitch.membership;

import java.time.Duration;

/**
 * How long a promise counts on either side.
 *
 * @param holderNanos counted by the host that was given it, from its sending of the request, in nanoseconds
 * @param giverNanos counted by the host that gave it, from its receipt of the request, in nanoseconds
 */
public record PromiseTimes(long holderNanos, long granterNanos) {

    /** Derives both from the promise's nominal time and the bound on clock drift. */
    public static PromiseTimes of(Duration promiseTime, double clockDriftRatio) {
        long nanos = promiseTime.toNanos();
        return new PromiseTimes((long) (nanos * (1 - clockDriftRatio)), (long) (nanos * (1 + clockDriftRatio)));
    }
}

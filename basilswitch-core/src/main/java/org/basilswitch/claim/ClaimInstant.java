package org.basilswitch.claim;

import org.basilswitch.time.Clock;

/**
 * An instant on both clocks of this host.
 *
 * @param wallMs the wall clock, in milliseconds since the epoch
 * @param monotonicNanos the monotonic clock, in nanoseconds since an arbitrary origin
 */
record ClaimInstant(long wallMs, long monotonicNanos) {
    static ClaimInstant of(Clock clock) {
        return new ClaimInstant(clock.millis(), clock.monotonicNanos());
    }
}

package org.basilswitch.time;

import java.time.InstantSource;

/** A wall clock, for timestamps in records and messages, and a monotonic clock, for leases and timeouts. */
public interface Clock extends InstantSource {

    /**
     * Returns the monotonic time of this process.
     *
     * @return nanoseconds since an arbitrary origin; never decreases, and advances while the process is paused
     */
    long monotonicNanos();
}

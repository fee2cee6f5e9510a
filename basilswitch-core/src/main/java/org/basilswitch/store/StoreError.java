package org.basilswitch.store;

/** The failure of a store call, by whether the call may have taken effect. */
public sealed interface StoreError {

    /** Returns a description of the failure for logs. */
    String detail();

    /** The call had no effect: the store refused it, or it was never sent. */
    record Refused(Reason reason, String detail) implements StoreError {}

    /** The call may have taken effect: its response was lost or arrived too late. */
    record Unknown(Reason reason, String detail) implements StoreError {}

    /** Categories of failures, each counted by a metric. */
    enum Reason {
        UNREACHABLE,
        TIMEOUT,
        RATE_LIMITED,
        VALUE_TOO_LARGE,
        LEASE_LAPSED,
        MALFORMED_ANSWER,
        CLOSED
    }
}

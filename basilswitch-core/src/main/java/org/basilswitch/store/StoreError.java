package org.basilswitch.store;

/** Why a store call gave no answer to act on. */
public sealed interface StoreError {

    /** What happened, for logs. */
    String detail();

    /** The call certainly had no effect: refused by the store, or never sent. */
    record Refused(Reason reason, String detail) implements StoreError {}

    /** The call may have taken effect: its answer was lost or came too late. */
    record Unknown(Reason reason, String detail) implements StoreError {}

    /** Reasons, each counted by a metric. */
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

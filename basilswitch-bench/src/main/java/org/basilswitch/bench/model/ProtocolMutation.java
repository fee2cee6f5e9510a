package org.basilswitch.bench.model;

/** Deliberate breaks of the protocol that the check has to find. */
public enum ProtocolMutation {
    /** The protocol as it is. */
    NONE,
    /** A change is acknowledged while promises for an older revision are in force. */
    ACKNOWLEDGES_AT_ONCE,
    /** A promise is given whatever the sender's revision. */
    PROMISES_ALWAYS,
    /** A promise counts from the arrival of the heartbeat instead of its sending. */
    COUNTS_FROM_ARRIVAL,
    /** The giver counts a promise no longer than the holder, although clocks drift. */
    IGNORES_DRIFT,
    /** A successor under the same address grants and acknowledges at once. */
    SUCCESSOR_DOES_NOT_WAIT,
    /** The members are changed before the last change of them is in force. */
    TWO_CHANGES_AT_ONCE,
    /** A change counts as in force with half of the members. */
    HALF_IS_ENOUGH
}

package org.basilswitch.bench.model;

/** Deliberate breaks of the protocol that the check has to find. */
public enum ProtocolMutation {
    /** The protocol as it is. */
    NONE,
    /** A change is acknowledged while promises for an older revision are in force. */
    ACKNOWLEDGES_IMMEDIATELY,
    /** A promise is given whatever the sender's revision. */
    PROMISES_TO_OLDER_REVISION,
    /** A promise counts from the arrival of the heartbeat instead of its sending. */
    MEASURES_FROM_ARRIVAL,
    /** The giver counts a promise no longer than the holder, although clocks drift. */
    IGNORES_CLOCK_DRIFT,
    /** A successor under the same address grants and acknowledges at once. */
    SUCCESSOR_DOES_NOT_WAIT,
    /** The members are changed before the last change of them is in force. */
    CONCURRENT_MEMBER_CHANGES,
    /** A change counts as in force with half of the members. */
    HALF_COUNTS_AS_MAJORITY
}

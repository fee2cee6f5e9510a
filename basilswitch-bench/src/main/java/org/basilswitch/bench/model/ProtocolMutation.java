package org.basilswitch.bench.model;

/** Mutations of the promise protocol that the model check has to detect. */
public enum ProtocolMutation {
    /** The unchanged protocol. */
    NONE,
    /** A change is acknowledged before promises to holders on an older revision have expired. */
    ACKNOWLEDGES_IMMEDIATELY,
    /** A promise is also granted to a sender on an older revision. */
    PROMISES_TO_OLDER_REVISION,
    /** The holder measures a promise from the arrival of the answer instead of from sending the heartbeat. */
    MEASURES_FROM_ARRIVAL,
    /** The granter adds no time for clock drift to a promise. */
    IGNORES_CLOCK_DRIFT,
    /**
     * A successor at the same address grants and acknowledges without waiting for its predecessor's promises to
     * expire.
     */
    SUCCESSOR_DOES_NOT_WAIT,
    /** The members are changed before their previous change is in force. */
    CONCURRENT_MEMBER_CHANGES,
    /** A change counts as in force when only half of the members have acknowledged it. */
    HALF_COUNTS_AS_MAJORITY
}

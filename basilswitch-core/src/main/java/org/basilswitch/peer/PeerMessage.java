package org.basilswitch.peer;

import java.util.List;
import java.util.Optional;

/** A message between entry hosts; each component of the core handles its own kinds. */
public sealed interface PeerMessage {

    /**
     * Requests a promise and reports usage.
     *
     * @param sequence number that the reply repeats, so that the promise counts from the time of sending
     * @param revision store revision up to which the sender's configuration is complete
     * @param knownRevision revision of the newest change that the sender knows, at most {@code revision}
     * @param acknowledgedRevision revision of the newest change that the sender has acknowledged
     * @param usages changes of the sender's usage since its last heartbeat to this peer
     */
    record Heartbeat(
            long sequence, long revision, long knownRevision, long acknowledgedRevision, List<TeamUsage> usages)
            implements PeerMessage {
        /** Copies the list. */
        public Heartbeat {
            usages = List.copyOf(usages);
        }
    }

    /**
     * Answers a heartbeat.
     *
     * @param sequence sequence number of the heartbeat
     * @param promised whether the promise is given
     * @param revision store revision up to which the answering host's configuration is complete
     * @param knownRevision revision of the newest change that the answering host knows
     * @param acknowledgedRevision revision of the newest change that the answering host has acknowledged
     */
    record HeartbeatReply(long sequence, boolean promised, long revision, long knownRevision, long acknowledgedRevision)
            implements PeerMessage {}

    /**
     * A team's usage of a pool through the sending host.
     *
     * @param pool name of the pool
     * @param team name of the team
     * @param running number of requests running
     * @param waiting number of requests waiting
     * @param usedMs slot time used since the sending host started, in milliseconds
     */
    record TeamUsage(String pool, String team, int running, int waiting, long usedMs) {}

    /**
     * Requests that the holder of a claim bucket commits a claim.
     *
     * @param correlation random number that identifies the claim; a repeated request with it is the same claim
     * @param bucket bucket that the id hashes to
     * @param idHigh upper half of the id's hash
     * @param idLow lower half of the id's hash
     * @param claimTimeMs time for which the claim is kept, in milliseconds
     */
    record ClaimRequest(long correlation, int bucket, long idHigh, long idLow, long claimTimeMs)
            implements PeerMessage {}

    /** Answers a claim request. */
    record ClaimReply(long correlation, ClaimVerdict verdict) implements PeerMessage {}

    /** Withdraws the claim with this correlation, because its request was never sent. */
    record ClaimRelease(long correlation, int bucket, long idHigh, long idLow) implements PeerMessage {}

    /** Verdicts on a claim request. They are encoded by ordinal, so that their order must not change. */
    enum ClaimVerdict {
        GRANTED,
        DUPLICATE,
        NOT_HOLDER,
        UNAVAILABLE
    }

    /** Requests that a holder of idle units of a team's limit transfers some of them to the sender. */
    record AllotmentRequest(String team, int wantedUnits) implements PeerMessage {}

    /**
     * Reports how many units of a team's limit the receiver may use.
     *
     * @param team name of the team
     * @param revision store revision of the team's allotment record
     * @param units the receiver's units in that record
     */
    record AllotmentNotice(String team, long revision, int units) implements PeerMessage {}

    /**
     * Carries changed configuration records.
     *
     * @param fromRevision revision up to which the receiver's view must be complete; 0 if all records are included
     * @param toRevision revision up to which the receiver's view is complete afterwards
     * @param knownRevision revision of the newest change that is included
     * @param changes changed records
     */
    record ConfigurationUpdate(long fromRevision, long toRevision, long knownRevision, List<RecordChange> changes)
            implements PeerMessage {
        /** Copies the list. */
        public ConfigurationUpdate {
            changes = List.copyOf(changes);
        }
    }

    /**
     * A changed configuration record.
     *
     * @param key the record's key in the store
     * @param value the record as JSON; empty when it was deleted
     * @param modRevision store revision of the change
     */
    record RecordChange(String key, Optional<byte[]> value, long modRevision) {}

    /** Requests the changes after a revision; the answer is an update that may contain all records. */
    record SnapshotRequest(long revision) implements PeerMessage {}
}

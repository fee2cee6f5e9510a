package org.basilswitch.peer;

import java.util.List;
import java.util.Optional;

/** A message between entry hosts; each slice handles its own kinds. */
public sealed interface PeerMessage {

    /**
     * Asks for a promise and reports load.
     *
     * @param sequence number that the reply repeats, for matching it to the time of sending
     * @param revision store revision up to which the sender's configuration is complete
     * @param knownRevision newest change that the sender knows of, at most {@code revision}
     * @param acknowledgedRevision newest change that the sender has acknowledged
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
     * @param sequence the heartbeat's number
     * @param promised whether the promise is given
     * @param revision store revision up to which the answering host's configuration is complete
     * @param knownRevision newest change that the answering host knows of
     * @param acknowledgedRevision newest change that the answering host has acknowledged
     */
    record HeartbeatReply(long sequence, boolean promised, long revision, long knownRevision, long acknowledgedRevision)
            implements PeerMessage {}

    /**
     * A team's usage of a pool through the sending host.
     *
     * @param pool pool
     * @param team team
     * @param running requests running
     * @param waiting requests waiting
     * @param usedMs slot time used since the sending host started, in milliseconds
     */
    record TeamUsage(String pool, String team, int running, int waiting, long usedMs) {}

    /**
     * Asks the holder of a claim bucket to commit a claim.
     *
     * @param correlation random number that names this claim; a repeated request with it is the same claim
     * @param bucket bucket that the id hashes to
     * @param idHigh upper half of the id's hash
     * @param idLow lower half of the id's hash
     * @param claimTimeMs how long the claim is kept, in milliseconds
     */
    record ClaimRequest(long correlation, int bucket, long idHigh, long idLow, long claimTimeMs)
            implements PeerMessage {}

    /** Answers a claim request. */
    record ClaimReply(long correlation, ClaimVerdict verdict) implements PeerMessage {}

    /** Withdraws the claim that {@code correlation} names, of a request that was never sent. */
    record ClaimRelease(long correlation, int bucket, long idHigh, long idLow) implements PeerMessage {}

    /** Verdicts on a claim request. */
    enum ClaimVerdict {
        GRANTED,
        DUPLICATE,
        NOT_HOLDER,
        UNAVAILABLE
    }

    /** Asks a holder of idle units of a team's limit to hand over some. */
    record AllotmentRequest(String team, int wantedUnits) implements PeerMessage {}

    /**
     * Tells a host what it may use of a team's limit.
     *
     * @param team team
     * @param revision revision of the team's allotment record
     * @param units the receiver's units in it
     */
    record AllotmentNotice(String team, long revision, int units) implements PeerMessage {}

    /**
     * Changed configuration records.
     *
     * @param fromRevision revision that the receiver has to be complete up to; 0 when the records are all there are
     * @param toRevision revision that the receiver is complete up to afterwards
     * @param knownRevision newest change contained
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
     * One changed record.
     *
     * @param key key in the store
     * @param value JSON; empty when the record was deleted
     * @param modRevision revision of the change
     */
    record RecordChange(String key, Optional<byte[]> value, long modRevision) {}

    /** Asks for the changes after a revision; the answer is an update that may hold all records. */
    record SnapshotRequest(long revision) implements PeerMessage {}
}

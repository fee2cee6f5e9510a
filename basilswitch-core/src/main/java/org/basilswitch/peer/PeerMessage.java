package org.basilswitch.peer;

import java.util.List;
import java.util.Optional;

/** A message between entry hosts; each slice handles its own kinds. */
public sealed interface PeerMessage {

    /**
     * Asks for a promise and reports load.
     *
     * @param sequence number that the reply repeats, for matching it to the time of sending
     * @param revision configuration revision that the sender acts on
     * @param usages changes of the sender's usage since its last heartbeat to this peer
     */
    record Heartbeat(long sequence, long revision, List<TeamUsage> usages) implements PeerMessage {}

    /**
     * Answers a heartbeat.
     *
     * @param sequence the heartbeat's number
     * @param promised whether the promise is given
     * @param revision configuration revision that the answering host acts on
     */
    record HeartbeatReply(long sequence, boolean promised, long revision) implements PeerMessage {}

    /**
     * A team's usage of a pool through the sending host.
     *
     * @param pool pool
     * @param team team
     * @param running requests running
     * @param waiting requests waiting
     */
    record TeamUsage(String pool, String team, int running, int waiting) {}

    /** Asks the holder of a claim bucket to commit a claim. */
    record ClaimRequest(long correlation, int bucket, long idHigh, long idLow, long claimTimeMs)
            implements PeerMessage {}

    /** Answers a claim request. */
    record ClaimReply(long correlation, ClaimVerdict verdict) implements PeerMessage {}

    /** Withdraws a claim of a request that was never sent. */
    record ClaimRelease(int bucket, long idHigh, long idLow) implements PeerMessage {}

    /** Verdicts on a claim request. */
    enum ClaimVerdict {
        GRANTED,
        DUPLICATE,
        NOT_HOLDER,
        UNAVAILABLE
    }

    /** Asks for the highest configuration snapshot that a peer holds. */
    record SnapshotRequest(long correlation) implements PeerMessage {}

    /** A configuration snapshot; the value is empty when the peer holds none. */
    record SnapshotReply(long correlation, long revision, Optional<byte[]> snapshot) implements PeerMessage {}
}

package org.basilswitch.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.basilswitch.peer.PeerMessage.ClaimVerdict;

/** A claim that waits for its commit, with the replies due to it and to later claims of the same id. */
final class PendingClaim {
    private final Claim claim;
    private final long arrivedNanos;
    private final List<Consumer<ClaimVerdict>> claimantReplies = new ArrayList<>();
    private final List<Consumer<ClaimVerdict>> competitorReplies = new ArrayList<>();
    private boolean withdrawn;

    PendingClaim(Claim claim, long arrivedNanos, Consumer<ClaimVerdict> reply) {
        this.claim = claim;
        this.arrivedNanos = arrivedNanos;
        claimantReplies.add(reply);
    }

    Claim claim() {
        return claim;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Adds the reply of another request for the same id: a repetition of this claim, or a competing claim. */
    void addReply(long correlation, Consumer<ClaimVerdict> reply) {
        (correlation == claim.correlation() ? claimantReplies : competitorReplies).add(reply);
    }

    /** Marks the claim as withdrawn by its claimant. */
    void withdraw() {
        withdrawn = true;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    void completeGranted() {
        ClaimVerdict verdict = withdrawn ? ClaimVerdict.UNAVAILABLE : ClaimVerdict.GRANTED;
        claimantReplies.forEach(reply -> reply.accept(verdict));
        competitorReplies.forEach(reply -> reply.accept(withdrawn ? ClaimVerdict.UNAVAILABLE : ClaimVerdict.DUPLICATE));
    }

    void completeFailed(ClaimVerdict verdict) {
        claimantReplies.forEach(reply -> reply.accept(verdict));
        competitorReplies.forEach(reply -> reply.accept(verdict));
    }
}

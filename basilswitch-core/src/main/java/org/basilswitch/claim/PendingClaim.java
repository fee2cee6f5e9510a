package org.basilswitch.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.basilswitch.peer.PeerMessage.ClaimVerdict;

/** A claim that waits for its commit, and later claims of the same id that wait for its outcome. */
final class PendingClaim {
    private final Claim claim;
    private final long arrivedNanos;
    private final List<Consumer<ClaimVerdict>> owners = new ArrayList<>();
    private final List<Consumer<ClaimVerdict>> rivals = new ArrayList<>();
    private boolean withdrawn;

    PendingClaim(Claim claim, long arrivedNanos, Consumer<ClaimVerdict> owner) {
        this.claim = claim;
        this.arrivedNanos = arrivedNanos;
        owners.add(owner);
    }

    Claim claim() {
        return claim;
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Adds another request for the same id: the same claim repeated, or a rival. */
    void join(long correlation, Consumer<ClaimVerdict> reply) {
        (correlation == claim.correlation() ? owners : rivals).add(reply);
    }

    /** The claimant has given up. */
    void withdraw() {
        withdrawn = true;
    }

    boolean withdrawn() {
        return withdrawn;
    }

    void granted() {
        ClaimVerdict verdict = withdrawn ? ClaimVerdict.UNAVAILABLE : ClaimVerdict.GRANTED;
        owners.forEach(owner -> owner.accept(verdict));
        rivals.forEach(rival -> rival.accept(withdrawn ? ClaimVerdict.UNAVAILABLE : ClaimVerdict.DUPLICATE));
    }

    void failed(ClaimVerdict verdict) {
        owners.forEach(owner -> owner.accept(verdict));
        rivals.forEach(rival -> rival.accept(verdict));
    }
}

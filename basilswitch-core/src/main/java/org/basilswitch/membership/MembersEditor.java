package org.basilswitch.membership;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/**
 * Changes the members record by compare-and-swap, one change at a time.
 *
 * <p>An address is added or removed only when the record's last change is in force, so that the majorities of any two
 * member sets under which promises may still be held share a member.
 */
final class MembersEditor {
    private final Member self;
    private final String key;
    private final PlatformStore store;
    private final ConfigurationFollower follower;
    private final PeerLeases leases;
    private final Telemetry telemetry;
    private boolean commitInProgress;

    MembersEditor(
            Member self,
            StoreKeys keys,
            PlatformStore store,
            ConfigurationFollower follower,
            PeerLeases leases,
            Telemetry telemetry) {
        this.self = self;
        this.key = keys.members();
        this.store = store;
        this.follower = follower;
        this.leases = leases;
        this.telemetry = telemetry;
    }

    /**
     * Starts adding this host to the record, or replacing the earlier incarnation at its address.
     *
     * @param view the members record to change
     * @return whether a commit was started
     */
    boolean tryJoin(MembersRecord view) {
        if (commitInProgress || !follower.isLoaded()) {
            return false;
        }
        if (view.hasAddress(self.peerAddress())) {
            leases.suspendUntilPredecessorLapses();
            commit(view.withReplacedMember(self));
            return true;
        }
        if (!isLastChangeInForce(view)) {
            return false;
        }
        commit(view.withMember(self));
        return true;
    }

    /**
     * Removes a member. The only member of the record is never removed.
     *
     * @param view the members record to change
     * @param id the member to remove
     * @return true when the removal is committed or the member is the only one, false when the commit fails or the
     *     record cannot be changed now
     */
    CompletionStage<Boolean> tryRemove(MembersRecord view, MemberId id) {
        MembersRecord next = view.withoutMember(id);
        boolean onlyMember = next.members().isEmpty();
        if (commitInProgress || !isLastChangeInForce(view) || onlyMember) {
            return CompletableFuture.completedFuture(onlyMember);
        }
        return commit(next);
    }

    private boolean isLastChangeInForce(MembersRecord view) {
        return view.members().isEmpty() || leases.isInForce(follower.membersRevision());
    }

    private CompletionStage<Boolean> commit(MembersRecord next) {
        commitInProgress = true;
        Transaction transaction = Transaction.builder()
                .compare(key, follower.membersRevision())
                .put(key, next.encode())
                .build();
        return store.commit(transaction).thenApply(this::onCommitResult);
    }

    private boolean onCommitResult(Either<StoreError, CommitResult> result) {
        commitInProgress = false;
        boolean committed = result.isRight() && result.get() instanceof CommitResult.Committed;
        if (!committed) {
            // A commit with an unknown result may have taken effect; the next attempt starts from the follower's view.
            telemetry.event(EventCode.MEMBER_CHANGE_FAILED, result.fold(StoreError::toString, Object::toString));
        }
        return committed;
    }
}

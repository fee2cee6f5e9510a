package org.basilswitch.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.basilswitch.peer.MemberId;
import org.basilswitch.time.Scheduler;

/** Tracks the callers that wait for a change to come into force, and completes their futures. */
final class InForceWaiters implements InForceMonitor {
    private final PeerLeases leases;
    private final Supplier<MembersRecord> members;
    private final Scheduler scheduler;
    private final List<Waiter> waiters = new ArrayList<>();

    InForceWaiters(PeerLeases leases, Supplier<MembersRecord> members, Scheduler scheduler) {
        this.leases = leases;
        this.members = members;
        this.scheduler = scheduler;
    }

    @Override
    public CompletionStage<Acknowledgement> await(long revision, Duration timeout) {
        Waiter waiter = new Waiter(revision, new CompletableFuture<>());
        waiters.add(waiter);
        scheduler.schedule(timeout, () -> complete(waiter));
        scheduler.schedule(Duration.ZERO, this::completeInForce);
        return waiter.result;
    }

    /** Completes the waiters whose change is in force. */
    void completeInForce() {
        for (Waiter waiter : List.copyOf(waiters)) {
            if (leases.isInForce(waiter.revision)) {
                complete(waiter);
            }
        }
    }

    private void complete(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.result.complete(acknowledgement(waiter.revision));
        }
    }

    private Acknowledgement acknowledgement(long revision) {
        MembersRecord view = members.get();
        Set<MemberId> ids = leases.acknowledgedBy(revision);
        List<Member> acknowledged = view.members().stream()
                .filter(member -> ids.contains(member.id()))
                .toList();
        return new Acknowledgement(leases.isInForce(revision), acknowledged, view.members());
    }

    private record Waiter(long revision, CompletableFuture<Acknowledgement> result) {}
}

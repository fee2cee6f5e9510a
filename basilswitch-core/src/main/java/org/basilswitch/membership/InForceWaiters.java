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

/** Callers waiting for changes to come into force. */
final class InForceWaiters implements InForceMonitor {
    private final PeerLeases leases;
    private final Supplier<MembersRecord> members;
    private final Scheduler scheduler;
    private final List<Wait> waits = new ArrayList<>();

    InForceWaiters(PeerLeases leases, Supplier<MembersRecord> members, Scheduler scheduler) {
        this.leases = leases;
        this.members = members;
        this.scheduler = scheduler;
    }

    @Override
    public CompletionStage<Acknowledgement> await(long revision, Duration timeout) {
        Wait wait = new Wait(revision, new CompletableFuture<>());
        waits.add(wait);
        scheduler.schedule(timeout, () -> end(wait));
        scheduler.schedule(Duration.ZERO, this::check);
        return wait.result;
    }

    /** Completes the waits whose change is in force by now. */
    void check() {
        for (Wait wait : List.copyOf(waits)) {
            if (leases.isInForce(wait.revision)) {
                end(wait);
            }
        }
    }

    private void end(Wait wait) {
        if (waits.remove(wait)) {
            wait.result.complete(state(wait.revision));
        }
    }

    private Acknowledgement state(long revision) {
        MembersRecord view = members.get();
        Set<MemberId> ids = leases.acknowledgedBy(revision);
        List<Member> acknowledged = view.members().stream()
                .filter(member -> ids.contains(member.id()))
                .toList();
        return new Acknowledgement(leases.isInForce(revision), acknowledged, view.members());
    }

    private record Wait(long revision, CompletableFuture<Acknowledgement> result) {}
}

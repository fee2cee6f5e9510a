package org.basilswitch.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.ClaimVerdict;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * One claim bucket at its holder: takes the fence, reads the groups, then commits claims in groups.
 *
 * <p>A commit whose answer is lost is settled by taking the fence again: after that it can no longer take effect, and
 * the group is either among those read or was never written.
 */
final class ClaimBucket {
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration PENDING_TIMEOUT = Duration.ofSeconds(10);
    private static final int MAX_PENDING = 20_000;
    private static final int MAX_GROUP_CLAIMS = 4_096;
    private static final int COMMIT_BURST = 4;

    private final int bucket;
    private final MemberId self;
    private final StoreKeys keys;
    private final PlatformStore store;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Duration commitInterval;
    private final Map<ClaimId, PendingClaim> pending = new LinkedHashMap<>();
    private final List<Claim> releases = new ArrayList<>();
    private ClaimTable table = new ClaimTable();
    private Optional<InFlightCommit> inFlight = Optional.empty();
    private State state = State.TAKING;
    private long fenceRevision;
    private long fenceNumber;
    private long nextGroup;
    private long earliestCommitNanos;
    private boolean commitScheduled;

    ClaimBucket(
            int bucket,
            MemberId self,
            StoreKeys keys,
            PlatformStore store,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry,
            Duration commitInterval) {
        this.bucket = bucket;
        this.self = self;
        this.keys = keys;
        this.store = store;
        this.clock = clock;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
        this.commitInterval = commitInterval;
        this.earliestCommitNanos = clock.monotonicNanos();
    }

    private enum State {
        TAKING,
        SERVING,
        LOST
    }

    /** A commit under way. */
    private record InFlightCommit(
            ClaimGroup group, List<PendingClaim> claims, List<Claim> releases, List<String> deletes) {}

    /** Starts taking the bucket over. */
    void take() {
        if (state == State.LOST) {
            return;
        }
        state = State.TAKING;
        store.get(keys.claimFence(bucket)).thenAccept(result -> {
            if (result.isLeft()) {
                retakeLater(result.getLeft());
            } else {
                bumpFence(result.get());
            }
        });
    }

    private void retakeLater(StoreError error) {
        telemetry.event(EventCode.CLAIM_STORE_FAILED, "bucket=" + bucket + " " + error);
        dropOldPending();
        scheduler.schedule(RETRY_DELAY, this::take);
    }

    private void bumpFence(Optional<PlatformStore.Entry> current) {
        long modRevision = current.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
        long number = current.flatMap(entry -> RecordCodec.decode(entry.value(), ClaimFence.class))
                        .map(ClaimFence::number)
                        .orElse(0L)
                + 1;
        Transaction transaction = Transaction.builder()
                .compare(keys.claimFence(bucket), modRevision)
                .put(keys.claimFence(bucket), RecordCodec.encode(new ClaimFence(self, number)))
                .build();
        store.commit(transaction).thenAccept(result -> {
            if (result.isRight() && result.get() instanceof CommitResult.Committed committed) {
                fenceRevision = committed.revision();
                fenceNumber = number;
                nextGroup = 0;
                readGroups();
            } else {
                retakeLater(result.fold(
                        error -> error, conflict -> new StoreError.Refused(StoreError.Reason.CLOSED, "conflict")));
            }
        });
    }

    private void readGroups() {
        store.range(keys.claimGroups(bucket)).thenAccept(result -> {
            if (result.isLeft()) {
                retakeLater(result.getLeft());
            } else if (state == State.TAKING) {
                serve(result.get());
            }
        });
    }

    private void serve(PlatformStore.Range range) {
        table = ClaimTable.load(range.entries().stream()
                .map(entry -> ClaimGroup.decode(entry.key(), entry.value()))
                .toList());
        state = State.SERVING;
        telemetry.event(EventCode.CLAIM_BUCKET_TAKEN, "bucket=" + bucket + " claims=" + table.size());
        settleFlight();
        commitSoon();
    }

    private void settleFlight() {
        inFlight.ifPresent(unsettled -> {
            inFlight = Optional.empty();
            if (table.containsGroup(unsettled.group.key())) {
                grant(unsettled);
            } else {
                fail(unsettled);
            }
        });
    }

    private void fail(InFlightCommit undone) {
        releases.addAll(undone.releases);
        undone.claims.forEach(claim -> claim.failed(ClaimVerdict.UNAVAILABLE));
    }

    private void grant(InFlightCommit done) {
        for (PendingClaim claim : done.claims) {
            if (claim.withdrawn()) {
                table.release(claim.claim().id(), claim.claim().correlation()).ifPresent(releases::add);
            }
            claim.granted();
        }
    }

    /** Asks for a claim; the verdict may come during this call or later. */
    void claim(ClaimId id, long correlation, Duration claimTime, Consumer<ClaimVerdict> reply) {
        Optional<PendingClaim> same = findPending(id);
        if (same.isPresent()) {
            same.get().join(correlation, reply);
            return;
        }
        if (state == State.SERVING) {
            Optional<Claim> committed = table.find(id, clock.millis());
            if (committed.isPresent()) {
                boolean repeated = committed.get().correlation() == correlation;
                reply.accept(repeated ? ClaimVerdict.GRANTED : ClaimVerdict.DUPLICATE);
                return;
            }
        }
        if (state == State.LOST || pending.size() >= MAX_PENDING) {
            reply.accept(state == State.LOST ? ClaimVerdict.NOT_HOLDER : ClaimVerdict.UNAVAILABLE);
            return;
        }
        Claim claim = new Claim(id, correlation, clock.millis() + claimTime.toMillis(), false);
        pending.put(id, new PendingClaim(claim, clock.monotonicNanos(), reply));
        commitSoon();
    }

    private Optional<PendingClaim> findPending(ClaimId id) {
        return Optional.ofNullable(pending.get(id))
                .or(() -> inFlight.flatMap(current -> current.claims.stream()
                        .filter(claim -> claim.claim().id().equals(id))
                        .findFirst()));
    }

    /** Withdraws a claim whose request was never sent. */
    void release(ClaimId id, long correlation) {
        Optional<PendingClaim> waiting =
                findPending(id).filter(found -> found.claim().correlation() == correlation);
        if (waiting.isPresent()) {
            waiting.get().withdraw();
            if (pending.remove(id, waiting.get())) {
                waiting.get().failed(ClaimVerdict.UNAVAILABLE);
            }
        } else if (state == State.SERVING) {
            table.release(id, correlation).ifPresent(releases::add);
            commitSoon();
        }
    }

    private void commitSoon() {
        if (state != State.SERVING || inFlight.isPresent() || commitScheduled || nothingToCommit()) {
            return;
        }
        commitScheduled = true;
        long waitNanos = earliestCommitNanos - clock.monotonicNanos();
        scheduler.schedule(Duration.ofNanos(Math.max(0, waitNanos)), () -> {
            commitScheduled = false;
            if (state == State.SERVING && inFlight.isEmpty()) {
                commit();
            }
        });
    }

    private boolean nothingToCommit() {
        return pending.isEmpty() && releases.isEmpty();
    }

    private void commit() {
        dropCommitted();
        if (nothingToCommit()) {
            return;
        }
        List<PendingClaim> chosen =
                pending.values().stream().limit(MAX_GROUP_CLAIMS).toList();
        List<Claim> released = List.copyOf(releases);
        List<Claim> claims = new ArrayList<>(released);
        chosen.forEach(claim -> claims.add(claim.claim()));
        releases.clear();
        chosen.forEach(claim -> pending.remove(claim.claim().id()));
        List<ClaimGroup> merge = table.groupsToMerge();
        claims.addAll(table.merged(merge, clock.millis()));
        List<String> deletes = new ArrayList<>(table.expiredGroups(clock.millis()));
        merge.stream()
                .map(ClaimGroup::key)
                .filter(key -> !deletes.contains(key))
                .forEach(deletes::add);
        send(new InFlightCommit(new ClaimGroup(nextGroupKey(), claims), chosen, released, deletes));
    }

    /** Answers pending claims whose id turned out to be claimed when the bucket's groups were read. */
    private void dropCommitted() {
        for (PendingClaim claim : List.copyOf(pending.values())) {
            Optional<Claim> committed = table.find(claim.claim().id(), clock.millis());
            if (committed.isPresent()) {
                pending.remove(claim.claim().id());
                boolean repeated =
                        committed.get().correlation() == claim.claim().correlation();
                if (repeated) {
                    claim.granted();
                } else {
                    claim.failed(ClaimVerdict.DUPLICATE);
                }
            }
        }
    }

    private String nextGroupKey() {
        return keys.claimGroups(bucket) + "%012d-%012d".formatted(fenceNumber, nextGroup++);
    }

    private void send(InFlightCommit next) {
        inFlight = Optional.of(next);
        long burstNanos = commitInterval.multipliedBy(COMMIT_BURST).toNanos();
        earliestCommitNanos =
                Math.max(earliestCommitNanos, clock.monotonicNanos() - burstNanos) + commitInterval.toNanos();
        Transaction.Builder transaction = Transaction.builder()
                .compare(keys.claimFence(bucket), fenceRevision)
                .put(next.group.key(), next.group.encode());
        next.deletes.forEach(transaction::delete);
        store.commit(transaction.build()).thenAccept(result -> onCommit(next, result));
    }

    private void onCommit(InFlightCommit done, Either<StoreError, CommitResult> result) {
        if (inFlight.isEmpty() || inFlight.get() != done) {
            return;
        }
        if (result.isRight() && result.get() instanceof CommitResult.Committed) {
            telemetry.count(CounterCode.CLAIM_COMMITS, "committed");
            inFlight = Optional.empty();
            table.add(done.group);
            table.remove(done.deletes, clock.millis());
            grant(done);
            commitSoon();
        } else if (result.isRight()) {
            endUndone(done, "fenced");
            scheduler.schedule(RETRY_DELAY, this::take);
        } else if (result.getLeft() instanceof StoreError.Refused refused) {
            telemetry.event(EventCode.CLAIM_STORE_FAILED, "bucket=" + bucket + " " + refused);
            endUndone(done, "refused");
            dropOldPending();
            scheduler.schedule(RETRY_DELAY, this::commitSoon);
        } else {
            telemetry.count(CounterCode.CLAIM_COMMITS, "unknown");
            telemetry.event(EventCode.CLAIM_COMMIT_UNKNOWN, "bucket=" + bucket);
            take();
        }
    }

    private void endUndone(InFlightCommit undone, String result) {
        telemetry.count(CounterCode.CLAIM_COMMITS, result);
        inFlight = Optional.empty();
        fail(undone);
    }

    private void dropOldPending() {
        long oldest = clock.monotonicNanos() - PENDING_TIMEOUT.toNanos();
        List<PendingClaim> old = pending.values().stream()
                .filter(claim -> claim.arrivedNanos() < oldest)
                .toList();
        for (PendingClaim claim : old) {
            pending.remove(claim.claim().id());
            claim.failed(ClaimVerdict.UNAVAILABLE);
        }
    }

    /** Gives the bucket up because another member holds it by the members record; a commit under way still counts. */
    void giveUp() {
        if (state == State.LOST) {
            return;
        }
        telemetry.event(EventCode.CLAIM_BUCKET_LOST, "bucket=" + bucket);
        state = State.LOST;
        List<PendingClaim> waiting = List.copyOf(pending.values());
        pending.clear();
        waiting.forEach(claim -> claim.failed(ClaimVerdict.NOT_HOLDER));
    }
}

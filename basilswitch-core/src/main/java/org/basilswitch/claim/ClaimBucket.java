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
 * A claim bucket at its holder. The holder writes a new fencing token, reads the committed groups, then commits claims
 * in groups.
 *
 * <p>A commit with an unknown result is resolved by writing a new fencing token. After that the commit can no longer
 * take effect, so that its group is either among those read next or was never written.
 */
final class ClaimBucket {
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    /** Age at which pending claims are answered as unavailable while the store fails. */
    private static final Duration PENDING_TIMEOUT = Duration.ofSeconds(10);
    /** Bound on claims waiting for a commit; further ones are answered as unavailable. */
    private static final int MAX_PENDING_CLAIMS = 20_000;
    /** Largest number of pending claims in one commit. */
    private static final int MAX_GROUP_CLAIMS = 4_096;
    /** Commits that may follow each other at once after an idle time. */
    private static final int BURST_COMMITS = 4;

    private final int bucket;
    private final MemberId self;
    private final StoreKeys keys;
    private final PlatformStore store;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final Duration commitInterval;
    private final Map<ClaimId, PendingClaim> pending = new LinkedHashMap<>();
    private final List<Claim> pendingReleases = new ArrayList<>();
    private ClaimTable table = new ClaimTable();
    private Optional<InFlightCommit> inFlight = Optional.empty();
    private State state = State.ACQUIRING;
    private long fenceRevision;
    private long fenceNumber;
    private long nextGroupNumber;
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
        ACQUIRING,
        SERVING,
        LOST
    }

    /**
     * A commit whose result is not known yet.
     *
     * @param group the group to write
     * @param claims new claims in the group, to be answered after the commit
     * @param releases tombstones in the group, to be committed again if the commit fails
     * @param deletes keys of the groups that the commit deletes
     */
    private record InFlightCommit(
            ClaimGroup group, List<PendingClaim> claims, List<Claim> releases, List<String> deletes) {}

    /** Acquires the bucket, with retries; called again after a commit that was fenced or has an unknown result. */
    void acquire() {
        if (state == State.LOST) {
            return;
        }
        state = State.ACQUIRING;
        store.get(keys.claimFence(bucket)).thenAccept(result -> {
            if (result.isLeft()) {
                retryAcquire(result.getLeft());
            } else {
                advanceFence(result.get());
            }
        });
    }

    private void retryAcquire(StoreError error) {
        telemetry.event(EventCode.CLAIM_STORE_FAILED, "bucket=" + bucket + " " + error);
        failExpiredPending();
        scheduler.schedule(RETRY_DELAY, this::acquire);
    }

    private void advanceFence(Optional<PlatformStore.Entry> current) {
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
                nextGroupNumber = 0;
                readGroups();
            } else {
                retryAcquire(result.fold(
                        error -> error, conflict -> new StoreError.Refused(StoreError.Reason.CLOSED, "conflict")));
            }
        });
    }

    private void readGroups() {
        store.range(keys.claimGroups(bucket)).thenAccept(result -> {
            if (result.isLeft()) {
                retryAcquire(result.getLeft());
            } else if (state == State.ACQUIRING) {
                startServing(result.get());
            }
        });
    }

    private void startServing(PlatformStore.Range range) {
        ClaimInstant now = ClaimInstant.of(clock);
        List<ClaimGroup> groups = range.entries().stream()
                .map(entry -> ClaimGroup.decode(entry.key(), entry.value(), now))
                .toList();
        table = ClaimTable.load(groups, table);
        state = State.SERVING;
        telemetry.event(EventCode.CLAIM_BUCKET_TAKEN, "bucket=" + bucket + " claims=" + table.size());
        resolveInFlightCommit();
        scheduleCommit();
    }

    private void resolveInFlightCommit() {
        inFlight.ifPresent(commit -> {
            inFlight = Optional.empty();
            if (table.containsGroup(commit.group.key())) {
                grantClaims(commit);
            } else {
                failCommit(commit);
            }
        });
    }

    private void failCommit(InFlightCommit commit) {
        pendingReleases.addAll(commit.releases);
        commit.claims.forEach(claim -> claim.completeFailed(ClaimVerdict.UNAVAILABLE));
    }

    private void grantClaims(InFlightCommit commit) {
        for (PendingClaim claim : commit.claims) {
            if (claim.withdrawn()) {
                table.release(claim.claim().id(), claim.claim().correlation()).ifPresent(pendingReleases::add);
            }
            claim.completeGranted();
        }
    }

    /** Claims an id; {@code reply} receives the verdict, possibly during this call. */
    void claim(ClaimId id, long correlation, Duration claimTime, Consumer<ClaimVerdict> reply) {
        Optional<PendingClaim> existing = findPending(id);
        if (existing.isPresent()) {
            existing.get().addReply(correlation, reply);
            return;
        }
        ClaimInstant now = ClaimInstant.of(clock);
        if (state == State.SERVING) {
            Optional<Claim> committed = table.find(id, now);
            if (committed.isPresent()) {
                boolean isRepeat = committed.get().correlation() == correlation;
                reply.accept(isRepeat ? ClaimVerdict.GRANTED : ClaimVerdict.DUPLICATE);
                return;
            }
        }
        if (state == State.LOST || pending.size() >= MAX_PENDING_CLAIMS) {
            reply.accept(state == State.LOST ? ClaimVerdict.NOT_HOLDER : ClaimVerdict.UNAVAILABLE);
            return;
        }
        Claim claim = Claim.starting(id, correlation, claimTime, now);
        pending.put(id, new PendingClaim(claim, now.monotonicNanos(), reply));
        scheduleCommit();
    }

    private Optional<PendingClaim> findPending(ClaimId id) {
        return Optional.ofNullable(pending.get(id))
                .or(() -> inFlight.flatMap(current -> current.claims.stream()
                        .filter(claim -> claim.claim().id().equals(id))
                        .findFirst()));
    }

    /** Withdraws a claim whose request was never sent; does nothing when the id has another claim. */
    void release(ClaimId id, long correlation) {
        Optional<PendingClaim> waiting =
                findPending(id).filter(found -> found.claim().correlation() == correlation);
        if (waiting.isPresent()) {
            waiting.get().withdraw();
            if (pending.remove(id, waiting.get())) {
                waiting.get().completeFailed(ClaimVerdict.UNAVAILABLE);
            }
        } else if (state == State.SERVING) {
            table.release(id, correlation).ifPresent(pendingReleases::add);
            scheduleCommit();
        }
    }

    private void scheduleCommit() {
        if (state != State.SERVING || inFlight.isPresent() || commitScheduled || hasNothingToCommit()) {
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

    private boolean hasNothingToCommit() {
        return pending.isEmpty() && pendingReleases.isEmpty();
    }

    private void commit() {
        answerAlreadyClaimed();
        if (hasNothingToCommit()) {
            return;
        }
        List<PendingClaim> batch =
                pending.values().stream().limit(MAX_GROUP_CLAIMS).toList();
        List<Claim> released = List.copyOf(pendingReleases);
        List<Claim> claims = new ArrayList<>(released);
        batch.forEach(claim -> claims.add(claim.claim()));
        pendingReleases.clear();
        batch.forEach(claim -> pending.remove(claim.claim().id()));
        List<ClaimGroup> mergeSources = table.groupsToMerge();
        ClaimInstant now = ClaimInstant.of(clock);
        claims.addAll(table.mergeClaims(mergeSources, now));
        List<String> deletes = new ArrayList<>(table.endedGroups(now));
        mergeSources.stream()
                .map(ClaimGroup::key)
                .filter(key -> !deletes.contains(key))
                .forEach(deletes::add);
        sendCommit(new InFlightCommit(new ClaimGroup(nextGroupKey(), claims), batch, released, deletes));
    }

    /** Answers pending claims whose id is already claimed in the groups that were read from the store. */
    private void answerAlreadyClaimed() {
        ClaimInstant now = ClaimInstant.of(clock);
        for (PendingClaim claim : List.copyOf(pending.values())) {
            Optional<Claim> committed = table.find(claim.claim().id(), now);
            if (committed.isPresent()) {
                pending.remove(claim.claim().id());
                boolean isRepeat =
                        committed.get().correlation() == claim.claim().correlation();
                if (isRepeat) {
                    claim.completeGranted();
                } else {
                    claim.completeFailed(ClaimVerdict.DUPLICATE);
                }
            }
        }
    }

    private String nextGroupKey() {
        return keys.claimGroups(bucket) + "%012d-%012d".formatted(fenceNumber, nextGroupNumber++);
    }

    private void sendCommit(InFlightCommit commit) {
        inFlight = Optional.of(commit);
        long burstNanos = commitInterval.multipliedBy(BURST_COMMITS).toNanos();
        earliestCommitNanos =
                Math.max(earliestCommitNanos, clock.monotonicNanos() - burstNanos) + commitInterval.toNanos();
        Transaction.Builder transaction = Transaction.builder()
                .compare(keys.claimFence(bucket), fenceRevision)
                .put(commit.group.key(), commit.group.encode());
        commit.deletes.forEach(transaction::delete);
        store.commit(transaction.build()).thenAccept(result -> onCommitResult(commit, result));
    }

    private void onCommitResult(InFlightCommit commit, Either<StoreError, CommitResult> result) {
        if (inFlight.isEmpty() || inFlight.get() != commit) {
            return;
        }
        if (result.isRight() && result.get() instanceof CommitResult.Committed) {
            telemetry.count(CounterCode.CLAIM_COMMITS, "committed");
            inFlight = Optional.empty();
            table.add(commit.group);
            table.removeGroups(commit.deletes, ClaimInstant.of(clock));
            grantClaims(commit);
            scheduleCommit();
        } else if (result.isRight()) {
            endFailedCommit(commit, "fenced");
            scheduler.schedule(RETRY_DELAY, this::acquire);
        } else if (result.getLeft() instanceof StoreError.Refused refused) {
            telemetry.event(EventCode.CLAIM_STORE_FAILED, "bucket=" + bucket + " " + refused);
            endFailedCommit(commit, "refused");
            failExpiredPending();
            scheduler.schedule(RETRY_DELAY, this::scheduleCommit);
        } else {
            telemetry.count(CounterCode.CLAIM_COMMITS, "unknown");
            telemetry.event(EventCode.CLAIM_COMMIT_UNKNOWN, "bucket=" + bucket);
            acquire();
        }
    }

    private void endFailedCommit(InFlightCommit commit, String result) {
        telemetry.count(CounterCode.CLAIM_COMMITS, result);
        inFlight = Optional.empty();
        failCommit(commit);
    }

    private void failExpiredPending() {
        long oldestNanos = clock.monotonicNanos() - PENDING_TIMEOUT.toNanos();
        List<PendingClaim> expired = pending.values().stream()
                .filter(claim -> claim.arrivedNanos() < oldestNanos)
                .toList();
        for (PendingClaim claim : expired) {
            pending.remove(claim.claim().id());
            claim.completeFailed(ClaimVerdict.UNAVAILABLE);
        }
    }

    /** Stops serving the bucket, which this host no longer holds; the result of a commit in flight is still handled. */
    void relinquish() {
        if (state == State.LOST) {
            return;
        }
        telemetry.event(EventCode.CLAIM_BUCKET_LOST, "bucket=" + bucket);
        state = State.LOST;
        List<PendingClaim> waiting = List.copyOf(pending.values());
        pending.clear();
        waiting.forEach(claim -> claim.completeFailed(ClaimVerdict.NOT_HOLDER));
    }
}

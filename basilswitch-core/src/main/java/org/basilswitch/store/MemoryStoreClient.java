package org.basilswitch.store;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.time.Scheduler;

/** A client of a {@link MemoryStore} with configurable delays, outages and lost responses, for simulations. */
public final class MemoryStoreClient implements PlatformStore {
    private final MemoryStore store;
    private final Scheduler scheduler;
    private final UniformRandomProvider random;
    private Duration oneWayDelay = Duration.ofMillis(1);
    private Duration timeout = Duration.ofSeconds(1);
    private double lostAnswerRatio;
    private boolean reachable = true;
    private boolean silent;
    private CommitFault commitFault = CommitFault.NONE;
    private long calls;

    private MemoryStoreClient(MemoryStore store, Scheduler scheduler, UniformRandomProvider random) {
        this.store = store;
        this.scheduler = scheduler;
        this.random = random;
    }

    /** Faults of commits only; other calls are answered, so that leases are kept. */
    public enum CommitFault {
        NONE,
        /** The store refuses commits and does not apply them. */
        REFUSED,
        /** Commits are lost on their way to the store. */
        REQUEST_LOST,
        /** The store applies commits, and their responses are lost. */
        ANSWER_LOST
    }

    /** Creates a client without faults and with a delay of 1 ms in each direction. */
    public static MemoryStoreClient create(MemoryStore store, Scheduler scheduler, UniformRandomProvider random) {
        return new MemoryStoreClient(store, scheduler, random);
    }

    /** Sets the delay of each direction. */
    public void setOneWayDelay(Duration delay) {
        oneWayDelay = delay;
    }

    /** Sets the ratio of calls, from 0 to 1, that take effect but whose responses are lost. */
    public void setLostAnswerRatio(double ratio) {
        lostAnswerRatio = ratio;
    }

    /** Sets the fault of commits. */
    public void setCommitFault(CommitFault fault) {
        commitFault = fault;
    }

    /** Disconnects or reconnects the client. */
    public void setReachable(boolean reachable) {
        this.reachable = reachable;
    }

    /** Returns the number of calls made; opening a watch counts as one call. */
    public long calls() {
        return calls;
    }

    /** Has calls get lost without a response, or be served again; the watch receives nothing meanwhile. */
    public void setSilent(boolean silent) {
        this.silent = silent;
    }

    private <T> CompletionStage<Either<StoreError, T>> call(Supplier<Either<StoreError, T>> action) {
        calls++;
        CompletableFuture<Either<StoreError, T>> answer = new CompletableFuture<>();
        scheduler.schedule(timeout, () -> answer.complete(unknown()));
        if (silent) {
            return answer;
        }
        if (!reachable) {
            scheduler.schedule(oneWayDelay, () -> answer.complete(refused()));
            return answer;
        }
        scheduler.schedule(oneWayDelay, () -> {
            Either<StoreError, T> result = action.get();
            if (reachable && random.nextDouble() >= lostAnswerRatio) {
                scheduler.schedule(oneWayDelay, () -> answer.complete(result));
            }
        });
        return answer;
    }

    /** Copies an entry with its value, because a client never shares arrays with the store. */
    private static Entry copy(Entry entry) {
        return new Entry(entry.key(), entry.value().clone(), entry.createRevision(), entry.modRevision());
    }

    private static Range copy(Range range) {
        return new Range(
                range.revision(),
                range.entries().stream().map(MemoryStoreClient::copy).toList());
    }

    private static <T> Either<StoreError, T> unknown() {
        return Either.left(new StoreError.Unknown(StoreError.Reason.TIMEOUT, "call timed out"));
    }

    private <T> CompletionStage<Either<StoreError, T>> timedOut() {
        CompletableFuture<Either<StoreError, T>> answer = new CompletableFuture<>();
        scheduler.schedule(timeout, () -> answer.complete(unknown()));
        return answer;
    }

    private static <T> Either<StoreError, T> refused() {
        return Either.left(new StoreError.Refused(StoreError.Reason.UNREACHABLE, "not connected"));
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<Entry>>> get(String key) {
        return call(() -> Either.right(store.get(key).map(MemoryStoreClient::copy)));
    }

    @Override
    public CompletionStage<Either<StoreError, Range>> range(String prefix) {
        return call(() -> Either.right(copy(store.range(prefix))));
    }

    @Override
    public CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction) {
        CommitFault fault = commitFault;
        if (fault == CommitFault.REFUSED) {
            return call(MemoryStoreClient::refused);
        }
        if (fault == CommitFault.REQUEST_LOST) {
            calls++;
            return timedOut();
        }
        CompletionStage<Either<StoreError, CommitResult>> answer = call(() -> {
            OptionalLong expired = store.expiredLease(transaction);
            return expired.isPresent() ? leaseExpired(expired.getAsLong()) : Either.right(store.commit(transaction));
        });
        return fault == CommitFault.ANSWER_LOST ? answer.thenCompose(lost -> timedOut()) : answer;
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive) {
        return call(() -> Either.right(store.grantLease(timeToLive)));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId) {
        return call(() -> leaseResult(store.keepAlive(leaseId), leaseId));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId) {
        return call(() -> leaseResult(store.revokeLease(leaseId), leaseId));
    }

    private static Either<StoreError, Long> leaseResult(boolean exists, long leaseId) {
        return exists ? Either.right(leaseId) : leaseExpired(leaseId);
    }

    private static <T> Either<StoreError, T> leaseExpired(long leaseId) {
        return Either.left(new StoreError.Refused(StoreError.Reason.LEASE_LAPSED, "expired lease " + leaseId));
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
        calls++;
        return ResumingWatch.open(
                store, scheduler, prefix, fromRevision, listener, () -> reachable && !silent, oneWayDelay);
    }
}

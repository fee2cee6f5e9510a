package org.basilswitch.bench.claims;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;

/** Store client that limits the rate of writes with a token bucket and refuses those beyond it. */
final class RateLimitedStore implements PlatformStore {
    private static final double NANOS_PER_SECOND = 1e9;

    private final PlatformStore store;
    private final SimulatedTime time;
    private final int writesPerSecond;
    private double tokens;
    private long refilledNanos;
    private long writes;
    private long refusals;

    RateLimitedStore(PlatformStore store, SimulatedTime time, int writesPerSecond) {
        this.store = store;
        this.time = time;
        this.writesPerSecond = writesPerSecond;
        this.tokens = writesPerSecond;
    }

    long writes() {
        return writes;
    }

    long refusals() {
        return refusals;
    }

    @Override
    public CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction) {
        long now = time.monotonicNanos();
        tokens = Math.min(writesPerSecond, tokens + (now - refilledNanos) / NANOS_PER_SECOND * writesPerSecond);
        refilledNanos = now;
        if (tokens < 1) {
            refusals++;
            CompletableFuture<Either<StoreError, CommitResult>> refused = new CompletableFuture<>();
            StoreError error = new StoreError.Refused(StoreError.Reason.RATE_LIMITED, "writes");
            time.schedule(Duration.ofMillis(1), () -> refused.complete(Either.left(error)));
            return refused;
        }
        tokens--;
        writes++;
        return store.commit(transaction);
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<Entry>>> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletionStage<Either<StoreError, Range>> range(String prefix) {
        return store.range(prefix);
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive) {
        return store.grantLease(timeToLive);
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId) {
        return store.keepAlive(leaseId);
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId) {
        return store.revokeLease(leaseId);
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
        return store.watch(prefix, fromRevision, listener);
    }
}

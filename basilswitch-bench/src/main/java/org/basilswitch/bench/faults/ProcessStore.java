package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;

/**
 * Store client that delivers the store's answers on a process's event loop. Calls already made take effect in the
 * store even while the process is paused or after it was killed.
 */
final class ProcessStore implements PlatformStore {
    private final PlatformStore store;
    private final ProcessTime process;

    ProcessStore(PlatformStore store, ProcessTime process) {
        this.store = store;
        this.process = process;
    }

    private <T> CompletionStage<T> onLoop(CompletionStage<T> answer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        answer.thenAccept(value -> process.deliver(() -> result.complete(value)));
        return result;
    }

    @Override
    public CompletionStage<Either<StoreError, Optional<Entry>>> get(String key) {
        return onLoop(store.get(key));
    }

    @Override
    public CompletionStage<Either<StoreError, Range>> range(String prefix) {
        return onLoop(store.range(prefix));
    }

    @Override
    public CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction) {
        return onLoop(store.commit(transaction));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive) {
        return onLoop(store.grantLease(timeToLive));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId) {
        return onLoop(store.keepAlive(leaseId));
    }

    @Override
    public CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId) {
        return onLoop(store.revokeLease(leaseId));
    }

    @Override
    public Watch watch(String prefix, long fromRevision, WatchListener listener) {
        return store.watch(prefix, fromRevision, new WatchListener() {
            @Override
            public void onChanges(long revision, List<Change> changes) {
                process.deliver(() -> listener.onChanges(revision, changes));
            }

            @Override
            public void onCompacted(long compactRevision) {
                process.deliver(() -> listener.onCompacted(compactRevision));
            }
        });
    }
}

package org.basilswitch.intake;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Stores accepted jobs and cancellations.
 *
 * <p>A job is stored on condition that the configuration's record still has the revision on which the decision was
 * based, so that a withdrawn key or a removed queue never admits one. A commit without an answer is sent again
 * unchanged; as long as one may have taken effect, the job is not refused.
 */
public final class JobIntake {
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);
    /** Two tries that are refused at once; a store that turns one host away does so for seconds. */
    private static final Duration LOCAL_RETRY_TIME = Duration.ofMillis(130);

    private final PlatformStore store;
    private final StoreKeys keys;
    private final String configurationKey;
    private final Clock clock;
    private final Scheduler scheduler;

    private JobIntake(PlatformStore store, StoreKeys keys, String configurationKey, Clock clock, Scheduler scheduler) {
        this.store = store;
        this.keys = keys;
        this.configurationKey = configurationKey;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /**
     * Creates an intake.
     *
     * @param configurationKey key of the configuration's record
     */
    public static JobIntake create(
            PlatformStore store, StoreKeys keys, String configurationKey, Clock clock, Scheduler scheduler) {
        return new JobIntake(store, keys, configurationKey, clock, scheduler);
    }

    /** What became of a job or a cancellation. */
    public sealed interface Result {}

    /** Stored now, or before. */
    public record Stored(boolean alreadyStored) implements Result {}

    /** The configuration has changed; nothing was stored, and the decision is to be taken again. */
    public record ConfigurationChanged() implements Result {}

    /** Nothing was stored, and nothing will be. */
    public record NotStored(String reason) implements Result {}

    /** Nothing of this name is stored. */
    public record JobNotFound() implements Result {}

    /** No answer in time; it may be stored or not. */
    public record Undecided(String reason) implements Result {}

    /**
     * Stores a job unless it is stored already.
     *
     * @param mayForward whether to end after the first tries that fail, as another host can go on
     */
    public CompletionStage<Result> submit(
            JobSubmission submission, long configurationRevision, Duration timeout, boolean mayForward) {
        String key = keys.jobAccepted(submission.id());
        Transaction transaction = Transaction.builder()
                .compare(key, Transaction.ABSENT)
                .compare(configurationKey, configurationRevision)
                .put(key, RecordCodec.encode(submission))
                .build();
        return new CommitAttempt(transaction, clock.monotonicNanos() + timeout.toNanos(), false, mayForward).start();
    }

    /**
     * Stores the cancellation of a job, unless the job has a final state.
     *
     * @param mayForward whether to end after the first tries that fail, as another host can go on
     */
    public CompletionStage<Result> cancel(String id, Duration timeout, boolean mayForward) {
        long deadlineNanos = clock.monotonicNanos() + timeout.toNanos();
        return find(id, timeout, mayForward).thenCompose(found -> {
            if (found.isLeft()) {
                return CompletableFuture.completedFuture(
                        new NotStored(found.getLeft().detail()));
            }
            if (found.get().isEmpty()) {
                return CompletableFuture.completedFuture(new JobNotFound());
            }
            Transaction transaction = Transaction.builder()
                    .compare(keys.jobCancelled(id), Transaction.ABSENT)
                    .compare(keys.jobEnded(id), Transaction.ABSENT)
                    .put(keys.jobCancelled(id), new byte[0])
                    .build();
            return new CommitAttempt(transaction, deadlineNanos, true, mayForward).start();
        });
    }

    /**
     * Reads a job's record.
     *
     * @param mayForward whether to end after the first tries that fail, as another host can go on
     */
    public CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> find(
            String id, Duration timeout, boolean mayForward) {
        Duration retryTime = mayForward && timeout.compareTo(LOCAL_RETRY_TIME) > 0 ? LOCAL_RETRY_TIME : timeout;
        return find(id, clock.monotonicNanos() + retryTime.toNanos());
    }

    private CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> find(String id, long deadlineNanos) {
        return store.get(keys.jobAccepted(id)).thenCompose(result -> {
            if (result.isRight() || clock.monotonicNanos() + RETRY_DELAY.toNanos() > deadlineNanos) {
                return CompletableFuture.completedFuture(result);
            }
            CompletableFuture<Either<StoreError, Optional<PlatformStore.Entry>>> retried = new CompletableFuture<>();
            scheduler.schedule(RETRY_DELAY, () -> find(id, deadlineNanos).thenAccept(retried::complete));
            return retried;
        });
    }

    /** One transaction, sent until it has an answer. */
    private final class CommitAttempt {
        private final Transaction transaction;
        private final long deadlineNanos;
        private final boolean conflictMeansStored;
        private final long localDeadlineNanos;
        private final CompletableFuture<Result> outcome = new CompletableFuture<>();
        private boolean mayBeStored;

        /**
         * Prepares a transaction whose first comparison is that of the record to store.
         *
         * @param conflictMeansStored whether any failed comparison means that there is nothing left to store
         */
        private CommitAttempt(
                Transaction transaction, long deadlineNanos, boolean conflictMeansStored, boolean mayForward) {
            this.transaction = transaction;
            this.deadlineNanos = deadlineNanos;
            this.conflictMeansStored = conflictMeansStored;
            this.localDeadlineNanos = mayForward ? clock.monotonicNanos() + LOCAL_RETRY_TIME.toNanos() : deadlineNanos;
        }

        private CompletionStage<Result> start() {
            send(RETRY_DELAY);
            return outcome;
        }

        private void send(Duration retryDelay) {
            store.commit(transaction).thenAccept(result -> {
                if (result.isRight()) {
                    outcome.complete(toResult(result.get()));
                    return;
                }
                StoreError error = result.getLeft();
                mayBeStored |= error instanceof StoreError.Unknown;
                if (clock.monotonicNanos() + retryDelay.toNanos() < Math.min(deadlineNanos, localDeadlineNanos)) {
                    scheduler.schedule(retryDelay, () -> send(retryDelay.multipliedBy(2)));
                } else {
                    outcome.complete(mayBeStored ? new Undecided(error.detail()) : new NotStored(error.detail()));
                }
            });
        }

        private Result toResult(CommitResult result) {
            return switch (result) {
                case CommitResult.Committed committed -> new Stored(false);
                case CommitResult.Conflict conflict -> {
                    boolean stored = conflict.current().get(0).isPresent();
                    if (stored || conflictMeansStored) {
                        yield new Stored(!mayBeStored);
                    }
                    // An earlier try without an answer can't take effect any more: its conditions fail for good.
                    yield new ConfigurationChanged();
                }
            };
        }
    }
}

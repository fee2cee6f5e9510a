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
    private static final Duration OWN_TRIES = Duration.ofMillis(130);

    private final PlatformStore store;
    private final StoreKeys keys;
    private final String siteKey;
    private final Clock clock;
    private final Scheduler scheduler;

    private JobIntake(PlatformStore store, StoreKeys keys, String siteKey, Clock clock, Scheduler scheduler) {
        this.store = store;
        this.keys = keys;
        this.siteKey = siteKey;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /**
     * Creates an intake.
     *
     * @param siteKey key of the configuration's record
     */
    public static JobIntake create(
            PlatformStore store, StoreKeys keys, String siteKey, Clock clock, Scheduler scheduler) {
        return new JobIntake(store, keys, siteKey, clock, scheduler);
    }

    /** What became of a job or a cancellation. */
    public sealed interface Result {}

    /** Stored now, or before. */
    public record Stored(boolean before) implements Result {}

    /** The configuration has changed; nothing was stored, and the decision is to be taken again. */
    public record ConfigurationChanged() implements Result {}

    /** Nothing was stored, and nothing will be. */
    public record NotStored(String reason) implements Result {}

    /** Nothing of this name is stored. */
    public record Missing() implements Result {}

    /** No answer in time; it may be stored or not. */
    public record Undecided(String reason) implements Result {}

    /**
     * Stores a job unless it is stored already.
     *
     * @param handOver whether to end after the first tries that fail, as another host can go on
     */
    public CompletionStage<Result> submit(
            JobSubmission submission, long siteRevision, Duration timeout, boolean handOver) {
        String key = keys.jobAccepted(submission.id());
        Transaction transaction = Transaction.builder()
                .compare(key, Transaction.ABSENT)
                .compare(siteKey, siteRevision)
                .put(key, RecordCodec.encode(submission))
                .build();
        return new CommitAttempt(transaction, clock.monotonicNanos() + timeout.toNanos(), false, handOver).start();
    }

    /**
     * Stores the cancellation of a job, unless the job has a final state.
     *
     * @param handOver whether to end after the first tries that fail, as another host can go on
     */
    public CompletionStage<Result> cancel(String id, Duration timeout, boolean handOver) {
        long untilNanos = clock.monotonicNanos() + timeout.toNanos();
        return find(id, timeout, handOver).thenCompose(found -> {
            if (found.isLeft()) {
                return CompletableFuture.completedFuture(
                        new NotStored(found.getLeft().detail()));
            }
            if (found.get().isEmpty()) {
                return CompletableFuture.completedFuture(new Missing());
            }
            Transaction transaction = Transaction.builder()
                    .compare(keys.jobCancelled(id), Transaction.ABSENT)
                    .compare(keys.jobEnded(id), Transaction.ABSENT)
                    .put(keys.jobCancelled(id), new byte[0])
                    .build();
            return new CommitAttempt(transaction, untilNanos, true, handOver).start();
        });
    }

    /**
     * Reads a job's record.
     *
     * @param handOver whether to end after the first tries that fail, as another host can go on
     */
    public CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> find(
            String id, Duration timeout, boolean handOver) {
        Duration patience = handOver && timeout.compareTo(OWN_TRIES) > 0 ? OWN_TRIES : timeout;
        return find(id, clock.monotonicNanos() + patience.toNanos());
    }

    private CompletionStage<Either<StoreError, Optional<PlatformStore.Entry>>> find(String id, long untilNanos) {
        return store.get(keys.jobAccepted(id)).thenCompose(result -> {
            if (result.isRight() || clock.monotonicNanos() + RETRY_DELAY.toNanos() > untilNanos) {
                return CompletableFuture.completedFuture(result);
            }
            CompletableFuture<Either<StoreError, Optional<PlatformStore.Entry>>> again = new CompletableFuture<>();
            scheduler.schedule(RETRY_DELAY, () -> find(id, untilNanos).thenAccept(again::complete));
            return again;
        });
    }

    /** One transaction, sent until it has an answer. */
    private final class CommitAttempt {
        private final Transaction transaction;
        private final long untilNanos;
        private final boolean single;
        private final long ownTriesUntilNanos;
        private final CompletableFuture<Result> outcome = new CompletableFuture<>();
        private boolean mayBeStored;

        /**
         * Prepares a transaction whose first comparison is that of the record to store.
         *
         * @param single whether any failed comparison means that there is nothing left to store
         */
        private CommitAttempt(Transaction transaction, long untilNanos, boolean single, boolean handOver) {
            this.transaction = transaction;
            this.untilNanos = untilNanos;
            this.single = single;
            this.ownTriesUntilNanos = handOver ? clock.monotonicNanos() + OWN_TRIES.toNanos() : untilNanos;
        }

        private CompletionStage<Result> start() {
            send(RETRY_DELAY);
            return outcome;
        }

        private void send(Duration retryDelay) {
            store.commit(transaction).thenAccept(result -> {
                if (result.isRight()) {
                    outcome.complete(answered(result.get()));
                    return;
                }
                StoreError error = result.getLeft();
                mayBeStored |= error instanceof StoreError.Unknown;
                if (clock.monotonicNanos() + retryDelay.toNanos() < Math.min(untilNanos, ownTriesUntilNanos)) {
                    scheduler.schedule(retryDelay, () -> send(retryDelay.multipliedBy(2)));
                } else {
                    outcome.complete(mayBeStored ? new Undecided(error.detail()) : new NotStored(error.detail()));
                }
            });
        }

        private Result answered(CommitResult result) {
            return switch (result) {
                case CommitResult.Committed committed -> new Stored(false);
                case CommitResult.Conflict conflict -> {
                    boolean stored = conflict.current().get(0).isPresent();
                    if (stored || single) {
                        yield new Stored(!mayBeStored);
                    }
                    // An earlier try without an answer can't take effect any more: its conditions fail for good.
                    yield new ConfigurationChanged();
                }
            };
        }
    }
}

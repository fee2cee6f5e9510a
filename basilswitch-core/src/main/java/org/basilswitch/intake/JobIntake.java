package org.basilswitch.intake;

import java.time.Duration;
import java.util.Arrays;
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
 * <p>The transaction that stores a job compares the revision of the configuration record with the revision on which the
 * admission was based, so that a withdrawn key or a removed queue never admits a job. A commit without an answer is
 * retried unchanged. While an earlier commit may have taken effect, the job is not refused.
 */
public final class JobIntake {
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);
    /**
     * Time for retries on this host when the call can be forwarded: two attempts that the store refuses at once. A
     * store that refuses the calls of one host does so for seconds.
     */
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
     * @param configurationKey store key of the configuration record
     */
    public static JobIntake create(
            PlatformStore store, StoreKeys keys, String configurationKey, Clock clock, Scheduler scheduler) {
        return new JobIntake(store, keys, configurationKey, clock, scheduler);
    }

    /** The outcome of storing a job or a cancellation. */
    public sealed interface Result {}

    /**
     * The record is stored, by this call or an earlier one, or needs no write.
     *
     * @param revision revision of the record; {@link Transaction#ABSENT} for a cancellation that needs no write
     */
    public record Stored(long revision) implements Result {}

    /** The configuration has changed and nothing was stored; admission has to be decided again. */
    public record ConfigurationChanged() implements Result {}

    /** Nothing was stored, and no earlier commit can still take effect. */
    public record NotStored(String reason) implements Result {}

    /** No job with this identifier is stored. */
    public record JobNotFound() implements Result {}

    /** The store did not answer in time; the record may or may not be stored. */
    public record Undecided(String reason) implements Result {}

    /**
     * Stores a job unless a job with its identifier is already stored.
     *
     * @param mayForward whether to stop retrying after a short time because the call can be forwarded to another host
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
     * Stores the cancellation of a job unless the job is cancelled or has a final state. That of a long-running job is
     * stored beside a final state as well, as one that an earlier version has stored need not be final.
     *
     * @param mayForward whether to stop retrying after a short time because the call can be forwarded to another host
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
            boolean longRunning = found.get()
                    .flatMap(entry -> RecordCodec.decode(entry.value(), JobSubmission.class))
                    .filter(JobSubmission::isLongRunning)
                    .isPresent();
            Transaction.Builder transaction = Transaction.builder()
                    .compare(keys.jobCancelled(id), Transaction.ABSENT)
                    .put(keys.jobCancelled(id), new byte[0]);
            if (!longRunning) {
                transaction.compare(keys.jobEnded(id), Transaction.ABSENT);
            }
            return new CommitAttempt(transaction.build(), deadlineNanos, true, mayForward).start();
        });
    }

    /**
     * Reads the record of a job.
     *
     * @param mayForward whether to stop retrying after a short time because the call can be forwarded to another host
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

    /** Commits one transaction, with retries until the store answers or the deadline passes. */
    private final class CommitAttempt {
        private final Transaction transaction;
        private final long deadlineNanos;
        private final boolean conflictMeansStored;
        private final long localDeadlineNanos;
        private final CompletableFuture<Result> outcome = new CompletableFuture<>();
        private boolean mayBeStored;

        /**
         * Creates an attempt for a transaction whose first comparison is that of the record to store.
         *
         * @param conflictMeansStored whether any failed comparison means that the record needs no write
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
                case CommitResult.Committed committed -> new Stored(committed.revision());
                case CommitResult.Conflict conflict -> {
                    Optional<PlatformStore.Entry> current = conflict.current().get(0);
                    boolean stored = conflictMeansStored
                            || current.filter(entry -> confirmsJob(conflict, entry))
                                    .isPresent();
                    if (stored) {
                        yield new Stored(
                                current.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT));
                    }
                    // An earlier commit without an answer can no longer take effect: its comparisons fail permanently.
                    yield new ConfigurationChanged();
                }
            };
        }

        /** Returns whether a stored job is this one, or is found under the configuration that admitted this call. */
        private boolean confirmsJob(CommitResult.Conflict conflict, PlatformStore.Entry stored) {
            boolean ours = transaction.writes().stream()
                    .anyMatch(write ->
                            write instanceof Transaction.Put put && Arrays.equals(put.value(), stored.value()));
            Transaction.Compare configuration = transaction.compares().get(1);
            return ours
                    || conflict.current()
                            .get(1)
                            .filter(entry -> entry.modRevision() == configuration.modRevision())
                            .isPresent();
        }
    }
}

package org.basilswitch.schedule;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobState;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Scheduler;

/**
 * Stores the progress of jobs in grouped commits. Each commit is conditional on the leadership still being held, no
 * newer progress being stored and none of its jobs being cancelled. The first commit of a job is also conditional on its
 * accepted record, so that a late report of a job whose records are deleted starts nothing.
 *
 * <p>A commit without an answer is sent again unchanged: its conditions make it idempotent.
 */
final class ProgressWriter {
    /** Number of jobs in one commit; each uses up to four of the 32 entries that the platform's store accepts. */
    private static final int JOBS_PER_COMMIT = 7;

    /**
     * Delay before the first retry of a commit; it doubles up to the maximum, as an unavailable store rejects commits
     * for seconds.
     */
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(60);

    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

    private final PlatformStore store;
    private final StoreKeys keys;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private final long fencingToken;
    private final Listener listener;
    private boolean closed;

    /** Receives the results of commits. */
    interface Listener {
        /** Called when another entry host is found to be the leader. */
        void onLeadershipLost(String reason);

        /** Called when a job is found to be cancelled. */
        void onCancelled(ActiveJob job);

        /** Called when the accepted record of a job without progress is found to be deleted. */
        void onDeleted(ActiveJob job);

        /** Called when a write of a job has finished and it can be written again. */
        void onWriteFinished(ActiveJob job);
    }

    ProgressWriter(
            PlatformStore store,
            StoreKeys keys,
            Scheduler scheduler,
            Telemetry telemetry,
            long fencingToken,
            Listener listener) {
        this.store = store;
        this.keys = keys;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
        this.fencingToken = fencingToken;
        this.listener = listener;
    }

    void close() {
        closed = true;
    }

    /** Writes all jobs that have changed and have no write in flight. */
    void flush(Collection<ActiveJob> jobs) {
        List<Write> group = new ArrayList<>();
        for (ActiveJob job : jobs) {
            if (job.isDirty() && !job.isWriting() && !job.isEnded()) {
                group.add(prepare(job));
                if (group.size() == JOBS_PER_COMMIT) {
                    send(group);
                    group = new ArrayList<>();
                }
            }
        }
        if (!group.isEmpty()) {
            send(group);
        }
    }

    private Write prepare(ActiveJob job) {
        job.setWriting(true);
        List<Runnable> actions = job.takeCommitActions();
        JobState state = job.state();
        boolean isFinalWrite = state.isFinal() && !job.hasRuns();
        return new Write(
                job,
                job.nextProgressRecord(fencingToken),
                job.hasNoProgressRecord(),
                job.isCancelled(),
                isFinalWrite ? Optional.of(state) : Optional.empty(),
                actions);
    }

    private void send(List<Write> group) {
        Transaction.Builder builder = Transaction.builder().compare(keys.schedulerLeadership(), fencingToken);
        for (Write write : group) {
            String id = write.job.id();
            builder.compare(keys.jobProgress(id), write.job.progressRevision());
            if (!write.cancelled) {
                builder.compare(keys.jobCancelled(id), Transaction.ABSENT);
            }
            if (write.first) {
                builder.compare(keys.jobAccepted(id), write.job.acceptedRevision());
            }
            if (write.finalState.isPresent()) {
                builder.put(keys.jobEnded(id), write.finalState.get().name().getBytes(StandardCharsets.UTF_8));
                if (!write.first) {
                    builder.delete(keys.jobProgress(id));
                }
            } else {
                builder.put(keys.jobProgress(id), RecordCodec.encode(write.record));
            }
        }
        commit(group, builder.build(), INITIAL_RETRY_DELAY);
    }

    private void commit(List<Write> group, Transaction transaction, Duration retryDelay) {
        Completions.thenAcceptOrLog(
                store.commit(transaction),
                telemetry,
                "progress of jobs",
                result -> onResult(group, transaction, retryDelay, result));
    }

    private void onResult(
            List<Write> group, Transaction transaction, Duration retryDelay, Either<StoreError, CommitResult> result) {
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            telemetry.count(CounterCode.STORE_RETRIES, "progress");
            Duration nextDelay = retryDelay.multipliedBy(2);
            scheduler.schedule(
                    retryDelay,
                    () -> commit(
                            group,
                            transaction,
                            nextDelay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : nextDelay));
            return;
        }
        switch (result.get()) {
            case CommitResult.Committed committed -> group.forEach(write -> onCommitted(write, committed.revision()));
            case CommitResult.Conflict conflict -> onConflict(group, conflict.current());
        }
    }

    private void onCommitted(Write write, long revision) {
        ActiveJob job = write.job;
        job.setProgressRevision(revision);
        job.setWriting(false);
        write.actions.forEach(Runnable::run);
        if (write.finalState.isPresent()) {
            job.markEnded();
            // No later commit follows, and the final state covers what these actions wait for.
            job.takeCommitActions().forEach(Runnable::run);
        }
        listener.onWriteFinished(job);
    }

    private void onConflict(List<Write> group, List<Optional<PlatformStore.Entry>> current) {
        int index = 0;
        long leadershipRevision = revision(current.get(index++));
        if (leadershipRevision != fencingToken) {
            listener.onLeadershipLost("the leadership record has revision " + leadershipRevision);
            return;
        }
        for (Write write : group) {
            Optional<PlatformStore.Entry> progress = current.get(index++);
            boolean cancelled = !write.cancelled && current.get(index++).isPresent();
            boolean deleted = write.first && revision(current.get(index++)) != write.job.acceptedRevision();
            if (revision(progress) != write.job.progressRevision()) {
                // Only the leader writes this record, so the revision is that of this write, whose answer was lost.
                onCommitted(write, revision(progress));
                continue;
            }
            write.job.setWriting(false);
            write.job.restoreCommitActions(write.actions);
            if (deleted) {
                listener.onDeleted(write.job);
                continue;
            }
            if (cancelled) {
                listener.onCancelled(write.job);
            }
            listener.onWriteFinished(write.job);
        }
    }

    private static long revision(Optional<PlatformStore.Entry> entry) {
        return entry.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
    }

    /**
     * One job's part of a commit.
     *
     * @param first whether no earlier write of the job has been stored
     */
    private record Write(
            ActiveJob job,
            ProgressRecord record,
            boolean first,
            boolean cancelled,
            Optional<JobState> finalState,
            List<Runnable> actions) {}
}

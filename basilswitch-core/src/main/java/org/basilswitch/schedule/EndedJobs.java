package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.job.JobState;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;

/**
 * Keeps the final states of jobs for a retention time and then deletes their records from the store. A final state is
 * kept until the store has confirmed the deletion, as a job whose records still exist may be reported as accepted again.
 */
final class EndedJobs {
    /**
     * Number of jobs in one commit, which is limited to 32 entries: a comparison and three records per job and the
     * comparison of the leadership record.
     */
    private static final int JOBS_PER_COMMIT = 7;

    /** Delay after a deletion that was refused or not answered. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final SchedulerContext context;
    private final long fencingToken;
    private final Map<String, Ended> byId = new HashMap<>();
    private final Deque<Ended> byTime = new ArrayDeque<>();
    private boolean deleting;

    private record Ended(String id, JobState state, long acceptedRevision, long atSteadyNanos) {}

    EndedJobs(SchedulerContext context, long fencingToken) {
        this.context = context;
        this.fencingToken = fencingToken;
    }

    /**
     * Adds a job. The retention of a job that ended under an earlier leader starts now.
     *
     * @param acceptedRevision revision of the job's accepted record; {@link Transaction#ABSENT} when there is none
     */
    void add(String id, JobState state, long acceptedRevision) {
        Ended ended =
                new Ended(id, state, acceptedRevision, context.steadyClock().monotonicNanos());
        if (byId.putIfAbsent(id, ended) == null) {
            byTime.add(ended);
        }
    }

    /** Forgets a job whose records are known to be deleted. */
    void remove(String id) {
        Optional.ofNullable(byId.remove(id)).ifPresent(byTime::remove);
    }

    Optional<JobState> state(String id) {
        return Optional.ofNullable(byId.get(id)).map(Ended::state);
    }

    boolean contains(String id) {
        return byId.containsKey(id);
    }

    /** Returns whether the accepted record of this revision is that of a job that has ended. */
    boolean containsAsOf(String id, long acceptedRevision) {
        Ended ended = byId.get(id);
        return ended != null && acceptedRevision <= ended.acceptedRevision();
    }

    int size() {
        return byId.size();
    }

    /** Deletes the records of jobs whose retention has ended, a limited number at a time. */
    void deleteExpired() {
        if (deleting) {
            return;
        }
        long beforeSteadyNanos = context.steadyClock().monotonicNanos()
                - context.options().retention().toNanos();
        List<Ended> expired = byTime.stream()
                .limit(JOBS_PER_COMMIT)
                .takeWhile(ended -> ended.atSteadyNanos() <= beforeSteadyNanos)
                .toList();
        if (expired.isEmpty()) {
            return;
        }
        deleting = true;
        Completions.thenAcceptOrLog(
                () -> context.store().commit(deletionOf(expired)),
                context.telemetry(),
                "deletion of jobs",
                result -> {
                    if (result.isLeft()) {
                        context.telemetry()
                                .event(
                                        EventCode.JOBS_NOT_DELETED,
                                        result.getLeft().detail());
                        retryLater();
                        return;
                    }
                    onOutcome(expired, result.get());
                },
                this::retryLater);
    }

    private void retryLater() {
        context.timers().schedule(RETRY_DELAY, () -> deleting = false);
    }

    /**
     * Returns a transaction that deletes the records of jobs. The comparisons keep a deletion that is carried out late
     * from deleting a job that was submitted again under the same identifier.
     */
    private Transaction deletionOf(List<Ended> expired) {
        Transaction.Builder builder =
                Transaction.builder().compare(context.keys().schedulerLeadership(), fencingToken);
        for (Ended ended : expired) {
            builder.compare(context.keys().jobAccepted(ended.id()), ended.acceptedRevision());
            builder.delete(context.keys().jobAccepted(ended.id()));
            builder.delete(context.keys().jobCancelled(ended.id()));
            builder.delete(context.keys().jobEnded(ended.id()));
        }
        return builder.build();
    }

    private void onOutcome(List<Ended> expired, CommitResult outcome) {
        switch (outcome) {
            case CommitResult.Committed committed -> {
                expired.forEach(ended -> remove(ended.id()));
                deleting = false;
            }
            case CommitResult.Conflict conflict -> {
                // An earlier deletion, whose answer was lost, has deleted the records of jobs that do not match.
                for (int i = 0; i < expired.size(); i++) {
                    Optional<PlatformStore.Entry> accepted = conflict.current().get(i + 1);
                    long revision =
                            accepted.map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
                    if (revision != expired.get(i).acceptedRevision()) {
                        remove(expired.get(i).id());
                    }
                }
                retryLater();
            }
        }
    }
}

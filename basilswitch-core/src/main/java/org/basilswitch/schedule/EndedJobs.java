package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.job.JobState;
import org.basilswitch.store.Transaction;

/** Keeps the final states of jobs for a retention time and then deletes their records from the store. */
final class EndedJobs {
    /**
     * Number of jobs in one commit, which is limited to 32 entries: three records per job and the comparison of the
     * leadership record.
     */
    private static final int JOBS_PER_COMMIT = 10;

    private final SchedulerContext context;
    private final long fencingToken;
    private final Map<String, JobState> states = new HashMap<>();
    private final Deque<Ended> byTime = new ArrayDeque<>();
    private boolean deleting;

    private record Ended(String id, long atSteadyNanos) {}

    EndedJobs(SchedulerContext context, long fencingToken) {
        this.context = context;
        this.fencingToken = fencingToken;
    }

    /** Adds a job. The retention of a job that ended under an earlier leader starts now. */
    void add(String id, JobState state) {
        if (states.putIfAbsent(id, state) == null) {
            byTime.add(new Ended(id, context.steadyClock().monotonicNanos()));
        }
    }

    Optional<JobState> state(String id) {
        return Optional.ofNullable(states.get(id));
    }

    boolean contains(String id) {
        return states.containsKey(id);
    }

    int size() {
        return states.size();
    }

    /** Deletes the records of jobs whose retention has ended, a limited number at a time. */
    void deleteExpired() {
        Duration retention = context.options().retention();
        long beforeSteadyNanos = context.steadyClock().monotonicNanos() - retention.toNanos();
        if (deleting || byTime.isEmpty() || byTime.peek().atSteadyNanos > beforeSteadyNanos) {
            return;
        }
        Transaction.Builder builder =
                Transaction.builder().compare(context.keys().schedulerLeadership(), fencingToken);
        for (int i = 0;
                i < JOBS_PER_COMMIT && !byTime.isEmpty() && byTime.peek().atSteadyNanos <= beforeSteadyNanos;
                i++) {
            String id = byTime.poll().id();
            states.remove(id);
            builder.delete(context.keys().jobAccepted(id));
            builder.delete(context.keys().jobCancelled(id));
            builder.delete(context.keys().jobEnded(id));
        }
        deleting = true;
        Completions.thenAcceptOrLog(
                context.store().commit(builder.build()), context.telemetry(), "deletion of jobs", result -> {
                    deleting = false;
                    if (result.isLeft()) {
                        // The next leader finds the records and deletes them.
                        context.telemetry()
                                .event(
                                        EventCode.JOBS_NOT_DELETED,
                                        result.getLeft().detail());
                    }
                });
    }
}

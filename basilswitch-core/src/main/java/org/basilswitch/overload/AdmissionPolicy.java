package org.basilswitch.overload;

import java.time.Duration;
import java.util.List;

import org.basilswitch.job.JobQueue;
import org.basilswitch.job.StepSpec;

/** Decides whether a job is taken that is submitted while its pool is short of room. */
public final class AdmissionPolicy {
    /** Time for which a late job is of some use to its caller, as a multiple of the time in which it is on time. */
    private static final double USEFUL_TARGETS = 3;
    /** Longest time after which a caller is told to return. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    private AdmissionPolicy() {}

    /**
     * A submitted job.
     *
     * @param id identifier that its caller chose
     * @param queue queue that it is submitted to
     * @param team name of its team
     * @param steps its steps
     */
    public record Candidate(String id, JobQueue queue, String team, List<StepSpec> steps) {
        /** Makes a defensive copy of the steps. */
        public Candidate {
            steps = List.copyOf(steps);
        }
    }

    /**
     * Jobs of a pool that came to an entry host since an outlook was asked for.
     *
     * @param takenCoreMs processor time of those that were taken, core-milliseconds
     * @param turnedAwayCoreMs processor time of those that were turned away and are expected back, core-milliseconds
     */
    public record Since(double takenCoreMs, double turnedAwayCoreMs) {
        /** No jobs. */
        public static final Since NONE = new Since(0, 0);
    }

    /**
     * Decides whether a job is taken. It is turned away only if even a favourable prediction has it end too late to be of
     * use, and only once.
     *
     * @param since jobs that came to this host since the outlook was asked for
     */
    public static Verdict decide(Outlook outlook, Candidate job, Since since) {
        PoolOutlook pool = outlook.pools().get(job.queue().pool());
        QueueOutlook learned = outlook.queues().get(job.queue().name());
        boolean predictable =
                pool != null && learned != null && job.steps().stream().noneMatch(StepSpec::longRunning);
        if (!predictable || outlook.returningJobs().contains(job.id())) {
            return new Verdict.Admitted();
        }
        JobDemand demand = JobDemand.of(job.steps(), job.queue(), learned);
        boolean aboveRate = outlook.teamsAboveRate().contains(job.team());
        double waitMs = pool.waitMs(demand, aboveRate, since);
        double endMs = learned.favourableRatio() * (waitMs + demand.chainMs());
        double usefulMs = USEFUL_TARGETS * demand.targetMs();
        if (pool.hasRoomFor(demand) || endMs <= usefulMs) {
            return new Verdict.Admitted();
        }
        long startS = (long) Math.ceil(learned.favourableRatio() * waitMs / 1000);
        Duration retryAfter = Duration.ofSeconds(Math.max(1, Math.min(MAX_RETRY_AFTER.toSeconds(), startS)));
        return new Verdict.TurnedAway(endMs, usefulMs, retryAfter);
    }
}

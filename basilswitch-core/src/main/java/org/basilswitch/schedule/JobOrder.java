package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.StepSpec;
import org.basilswitch.overload.JobValue;
import org.basilswitch.overload.OpenJob;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.OverloadMonitor;
import org.basilswitch.overload.QueueOutlook;
import org.basilswitch.overload.ReturningJob;
import org.basilswitch.overload.StepDuration;
import org.basilswitch.overload.TeamAllowance;

/** Determines the order in which waiting jobs get servers: long-running jobs first, then by deadline and value. */
final class JobOrder {
    /** Fraction of a pool's processors that work items use on average. */
    private static final double USABLE_FRACTION = 0.85;
    /** Weight of a new job in the moving average of its queue's work. */
    private static final double MEAN_WORK_SMOOTHING = 0.05;

    /** Maximum age of a cached estimate; expected durations change little while a few work items end. */
    private static final Duration MAX_ESTIMATE_AGE = Duration.ofMillis(500);

    private final SchedulerContext context;
    private final DurationModel durationModel;
    private final ServerEligibility eligibility;
    private final OverloadMonitor overload;
    private final TeamRateMeter teamRates = new TeamRateMeter();
    private final Map<String, Double> meanWork = new HashMap<>();
    private final Map<String, Estimate> estimates = new HashMap<>();

    /**
     * Cached estimate of the remaining work of a job.
     *
     * @param entry the job with its latest start, remaining work and value
     * @param changeCount change count of the job that the estimate was derived from
     * @param untilNanos monotonic time until which the estimate is used, as expected durations change
     */
    private record Estimate(DeadlineOrder.Entry<ActiveJob> entry, long changeCount, long untilNanos) {}

    JobOrder(SchedulerContext context, DurationModel durationModel, ServerEligibility eligibility, long fencingToken) {
        this.context = context;
        this.durationModel = durationModel;
        this.eligibility = eligibility;
        this.overload = OverloadMonitor.create(fencingToken);
    }

    private JobConfiguration configuration() {
        return context.configuration().get().configuration();
    }

    /** Updates the team's rate and the queue's mean work with a submitted job. */
    void onJobAccepted(ActiveJob job) {
        JobTeam team = configuration().teams().get(job.submission().team());
        boolean exceedsShare = team != null
                && teamRates.countAndCheckExceeded(
                        team.name(), team.weight(), context.holderClock().monotonicNanos());
        if (exceedsShare) {
            job.markExceedsShare();
        }
        overload.onAccepted(
                job.submission(),
                configuration(),
                exceedsShare,
                context.holderClock().monotonicNanos());
        meanWork.merge(
                job.submission().queue(), totalWork(job), (mean, work) -> mean + MEAN_WORK_SMOOTHING * (work - mean));
    }

    /** Removes a job that has ended. */
    void removeJob(ActiveJob job) {
        estimates.remove(job.id());
        overload.onEnded(job.id(), job.isComplete(), context.holderClock().monotonicNanos());
    }

    /** Returns the expected duration of a step, in ms. */
    private double stepMs(ActiveJob job, int step) {
        StepSpec spec = job.submission().steps().get(step);
        return StepDuration.ofItemMs(durationModel.expectedMs(job.submission().queue(), spec.estimateMs()));
    }

    /** Returns the expected processor time of all work items of a job, in core-milliseconds. */
    private double totalWork(ActiveJob job) {
        double work = 0;
        for (StepSpec spec : job.submission().steps()) {
            work += itemWork(job, spec) * spec.count();
        }
        return work;
    }

    /** Returns the expected processor time of one work item, in core-milliseconds. */
    private double itemWork(ActiveJob job, StepSpec spec) {
        return spec.reserved().cpuMillis()
                / 1000.0
                * durationModel.expectedMs(job.submission().queue(), spec.estimateMs());
    }

    /** Returns the open jobs in the order in which they get servers. */
    List<ActiveJob> sorted(Collection<ActiveJob> jobs, long nowNanos) {
        Map<String, Double> coresByPool = eligibility.usableCores(nowNanos);
        List<ActiveJob> ordered = new ArrayList<>();
        Map<String, List<DeadlineOrder.Entry<ActiveJob>>> byPool = new HashMap<>();
        long nowMs = context.holderClock().millis();
        for (ActiveJob job : jobs) {
            JobQueue queue = configuration().queues().get(job.submission().queue());
            if (queue == null || !job.isOpen()) {
                continue;
            }
            if (job.submission().isLongRunning()) {
                ordered.add(job);
            } else {
                byPool.computeIfAbsent(queue.pool(), pool -> new ArrayList<>()).add(estimate(job, queue));
            }
        }
        Map<String, DeadlineOrder.Ordering<ActiveJob>> orderings = new HashMap<>();
        byPool.forEach((pool, entries) -> {
            DeadlineOrder.Ordering<ActiveJob> ordering =
                    DeadlineOrder.order(entries, nowMs, coresByPool.getOrDefault(pool, 0.0) * USABLE_FRACTION);
            orderings.put(pool, ordering);
            ordered.addAll(ordering.jobs());
        });
        if (overload.isDue(nowNanos)) {
            updateOutlook(orderings, nowNanos);
        }
        return ordered;
    }

    /** Takes note of jobs that were turned away and returns the outlook for the entry hosts; empty when there is none. */
    Optional<Outlook> exchangeOutlook(List<ReturningJob> turnedAway) {
        long nowNanos = context.holderClock().monotonicNanos();
        overload.onTurnedAway(turnedAway, nowNanos);
        return overload.outlook(nowNanos);
    }

    private void updateOutlook(Map<String, DeadlineOrder.Ordering<ActiveJob>> orderings, long nowNanos) {
        Map<String, QueueOutlook> queues = new HashMap<>();
        for (String queue : meanWork.keySet()) {
            durationModel
                    .learned(queue)
                    .ifPresent(durations -> queues.put(
                            queue,
                            new QueueOutlook(
                                    durations, meanWork.get(queue), overload.favourableRatio(queue, nowNanos))));
        }
        Map<String, JobTeam> teams = configuration().teams();
        TeamAllowance allowance = new TeamAllowance();
        Map<String, List<OpenJob>> openJobs = new HashMap<>();
        orderings.forEach((pool, ordering) -> {
            List<OpenJob> open = new ArrayList<>();
            Stream.concat(ordering.onTime().stream(), ordering.behind().stream())
                    .forEach(entry -> {
                        OpenJob.Place place = open.size() < ordering.onTime().size()
                                ? OpenJob.Place.ON_TIME
                                : entry.deferred() ? OpenJob.Place.ABOVE_RATE : OpenJob.Place.LATE;
                        JobSubmission job = entry.job().submission();
                        double waiting = allowance.take(teams.get(job.team()), waitingCoreMs(entry.job(), queues));
                        open.add(new OpenJob(place, entry.workPerValue(), waiting));
                    });
            openJobs.put(pool, open);
        });
        overload.update(
                nowNanos,
                eligibility.rooms(nowNanos),
                openJobs,
                queues,
                teamRates.teamsAboveRate(
                        nowNanos,
                        team -> teams.containsKey(team) ? teams.get(team).weight() : Double.MAX_VALUE));
    }

    /** Returns the work with which an open job delays others; jobs of a queue of which nothing is known do not. */
    private static double waitingCoreMs(ActiveJob job, Map<String, QueueOutlook> queues) {
        QueueOutlook queue = queues.get(job.submission().queue());
        double waiting = 0;
        for (int step = 0; queue != null && step < job.submission().steps().size(); step++) {
            StepSpec spec = job.submission().steps().get(step);
            waiting += spec.reserved().cpuMillis()
                    / 1000.0
                    * queue.durations().boundedMs(spec.estimateMs())
                    * job.waitingItems(step);
        }
        return waiting;
    }

    /**
     * Returns the time from its acceptance within which a job is on time, as estimated, in ms; zero for an unknown
     * queue.
     */
    double targetMs(ActiveJob job) {
        JobQueue queue = configuration().queues().get(job.submission().queue());
        return queue == null
                ? 0
                : queue.stretchFactor() * job.criticalPathMs(step -> stepMs(job, step)) + queue.targetMs();
    }

    /** Returns the latest time at which the rest of a job has to start, by its last estimate, in ms; past if unknown. */
    double latestStartMs(ActiveJob job) {
        Estimate estimate = estimates.get(job.id());
        return estimate == null ? Double.NEGATIVE_INFINITY : estimate.entry.latestStartMs();
    }

    private DeadlineOrder.Entry<ActiveJob> estimate(ActiveJob job, JobQueue queue) {
        long nowNanos = context.holderClock().monotonicNanos();
        Estimate cached = estimates.get(job.id());
        if (cached == null || cached.changeCount != job.changeCount() || nowNanos > cached.untilNanos) {
            cached = new Estimate(entry(job, queue), job.changeCount(), nowNanos + MAX_ESTIMATE_AGE.toNanos());
            estimates.put(job.id(), cached);
        }
        return cached.entry;
    }

    private DeadlineOrder.Entry<ActiveJob> entry(ActiveJob job, JobQueue queue) {
        double dueMs = job.submission().acceptedMs() + targetMs(job);
        double latestStartMs = dueMs - job.remainingCriticalPathMs(step -> stepMs(job, step));
        double work = 0;
        for (int step = 0; step < job.submission().steps().size(); step++) {
            work += itemWork(job, job.submission().steps().get(step)) * job.waitingItems(step);
        }
        double mean = meanWork.getOrDefault(queue.name(), 1.0);
        double value = JobValue.of(totalWork(job), mean);
        return new DeadlineOrder.Entry<>(job, latestStartMs, work, value, job.exceedsShare());
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.ReturningJob;

/**
 * Schedules the work items of all jobs while this entry host is the scheduler leader.
 *
 * <p>A run is stored before its start command is sent, and the end of a run is stored before it is acknowledged to the
 * server. Both writes are conditional on the leadership still being held. A new leader reads these records and asks
 * every backend server for its runs. The query carries the new fencing token, after which the server rejects commands
 * of the earlier leader.
 */
public final class JobScheduler implements AutoCloseable, RunSupervisor.Owner, ProgressWriter.Listener {
    /** Delay of a scheduling round, so that the changes within this time are placed and stored together. */
    private static final Duration ROUND_DELAY = Duration.ofMillis(12);

    /** Interval of the periodic tasks, which is the delay with which expired leases and returned hosts are noticed. */
    private static final Duration PERIODIC_TASK_INTERVAL = Duration.ofMillis(100);
    /** Delay between attempts to read the jobs; an unavailable store rejects reads for seconds. */
    private static final Duration LOAD_RETRY_DELAY = Duration.ofMillis(200);
    /**
     * Maximum age of the server list at placement. Starts on a draining server have to stop within bounds.drainMs,
     * which is 2 s or more.
     */
    private static final Duration MAX_SERVER_LIST_AGE = Duration.ofMillis(1400);

    /**
     * Maximum age of the server list when a start command is sent, which is after the run's record was stored; within
     * the same bound.
     */
    private static final Duration MAX_SERVER_LIST_AGE_AT_START = Duration.ofMillis(1800);
    /** Maximum age of the confirmed configuration for starts. */
    private static final Duration MAX_CONFIGURATION_AGE = Duration.ofMillis(2800);
    /** Remaining leadership lease required to send a command, to cover its transmission. */
    private static final Duration COMMAND_LEASE_MARGIN = Duration.ofMillis(250);

    private final SchedulerContext context;
    private final long fencingToken;
    private final Predicate<Duration> isLeaderFor;
    private final Consumer<String> leadershipLostListener;
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final EndedJobs endedJobs;
    private final RunRegistry runRegistry;
    private final TeamLimits teamLimits;
    private final RunSupervisor runSupervisor;
    private final ProgressWriter progressWriter;
    private final HostOperations hostOperations;
    private final ServerEligibility eligibility;
    private final WaveCoordinator waveCoordinator;
    private final PoolBalancer poolBalancer;
    private final DurationModel durationModel = DurationModel.create();
    private final JobOrder jobOrder;
    private final LocalityPolicy localityPolicy;
    private final TicketCache ticketCache;
    private final SlowServerDetector slowServerDetector = new SlowServerDetector(durationModel);
    private final StragglerRestarter stragglerRestarter;
    /** Jobs whose stored progress or final state can't be read; started anew, they might run twice. */
    private final Set<String> unreadableJobs = new HashSet<>();

    private final List<Accepted> acceptedWhileLoading = new ArrayList<>();
    private final List<String> cancelledWhileLoading = new ArrayList<>();
    private boolean loaded;
    private boolean roundScheduled;
    private boolean closed;

    /** A job and the revision of its accepted record. */
    private record Accepted(JobSubmission submission, long revision) {}

    private JobScheduler(
            SchedulerContext context, long fencingToken, Predicate<Duration> isLeaderFor, Consumer<String> onLost) {
        this.context = context;
        this.fencingToken = fencingToken;
        this.isLeaderFor = isLeaderFor;
        this.leadershipLostListener = onLost;
        IncarnationFences fences = IncarnationFences.of(fencingToken);
        this.runRegistry = new RunRegistry(fences, context.options().maxLease());
        this.teamLimits = new TeamLimits(context, runRegistry);
        this.runSupervisor = new RunSupervisor(context, fences, runRegistry, teamLimits, this);
        this.endedJobs = new EndedJobs(context, fencingToken);
        this.ticketCache = new TicketCache(context, this::onTicketsChanged);
        this.hostOperations = new HostOperations(context, fencingToken, isLeaderFor);
        this.eligibility = new ServerEligibility(context, runRegistry, hostOperations);
        this.jobOrder = new JobOrder(context, durationModel, eligibility, fencingToken);
        this.localityPolicy = new LocalityPolicy(context, runRegistry, jobOrder, durationModel);
        this.stragglerRestarter = new StragglerRestarter(context, runRegistry, runSupervisor, slowServerDetector);
        ServerDrainer serverDrainer = new ServerDrainer(context, runRegistry, runSupervisor, hostOperations);
        this.waveCoordinator = new WaveCoordinator(context, hostOperations, serverDrainer);
        this.poolBalancer = new PoolBalancer(context, hostOperations, serverDrainer, durationModel);
        this.progressWriter = new ProgressWriter(
                context.store(), context.keys(), context.timers(), context.telemetry(), fencingToken, this);
    }

    /**
     * Starts scheduling as the new leader.
     *
     * @param context dependencies
     * @param fencingToken fencing token of the leadership
     * @param isLeaderFor returns whether the leadership is held for the given time from now
     * @param onLost called once with the reason when another entry host is found to be the leader
     */
    public static JobScheduler takeOver(
            SchedulerContext context, long fencingToken, Predicate<Duration> isLeaderFor, Consumer<String> onLost) {
        JobScheduler scheduler = new JobScheduler(context, fencingToken, isLeaderFor, onLost);
        scheduler.load();
        return scheduler;
    }

    /**
     * Reads all job records concurrently. Progress and final states cannot change meanwhile, as only the leader writes
     * them; jobs and cancellations that arrive meanwhile are delivered by the job directory.
     */
    private void load() {
        RecoveredJobRecords records = new RecoveredJobRecords();
        List<String> prefixes = List.of(
                context.keys().jobsAccepted(),
                context.keys().jobsProgress(),
                context.keys().jobsCancelled(),
                context.keys().jobsEnded());
        prefixes.forEach(prefix -> loadRecords(records, prefix, prefixes));
    }

    private void loadRecords(RecoveredJobRecords records, String prefix, List<String> prefixes) {
        if (closed) {
            return;
        }
        Completions.thenAcceptOrLog(context.store().range(prefix), context.telemetry(), "records of jobs", result -> {
            if (result.isLeft()) {
                context.telemetry()
                        .event(EventCode.JOBS_READ_FAILED, result.getLeft().detail());
                context.timers().schedule(LOAD_RETRY_DELAY, () -> loadRecords(records, prefix, prefixes));
                return;
            }
            records.add(prefix, result.get().entries());
            if (records.hasAll(prefixes)) {
                onLoaded(records);
            }
        });
    }

    /** Restores the jobs from the stored records and starts the periodic tasks and the server list. */
    private void onLoaded(RecoveredJobRecords records) {
        if (closed) {
            return;
        }
        // 5 % more than the lease, to cover a server clock that is 2 % slow.
        long leaseExpirySteadyNanos = context.steadyClock().monotonicNanos()
                + context.options().lease().toNanos() * 21 / 20;
        List<JobSubmission> submissions = records.accepted(context.keys().jobsAccepted(), context.telemetry());
        records.ended(context.keys().jobsEnded(), submissions, context.telemetry())
                .forEach((id, state) ->
                        endedJobs.add(id, state, records.revision(context.keys().jobAccepted(id))));
        submissions.forEach(submission -> {
            if (!endedJobs.contains(submission.id()) && !jobs.containsKey(submission.id())) {
                Optional<RecoveredJobRecords.Progress> stored =
                        records.progress(submission, context.keys().jobProgress(submission.id()), context.telemetry());
                if (records.unreadable().contains(submission.id())) {
                    return;
                }
                ActiveJob job = new ActiveJob(
                        submission, records.revision(context.keys().jobAccepted(submission.id())));
                stored.ifPresent(progress -> job.restore(progress.record(), progress.revision()));
                if (records.isCancelled(context.keys().jobCancelled(submission.id()))) {
                    job.cancel();
                }
                jobs.put(job.id(), job);
                runSupervisor.recoverRuns(job, leaseExpirySteadyNanos);
            }
        });
        unreadableJobs.addAll(records.unreadable());
        int recoveredRuns = runRegistry.servers().stream()
                .mapToInt(server -> server.runs().size())
                .sum();
        Duration held =
                Duration.ofNanos(leaseExpirySteadyNanos - context.steadyClock().monotonicNanos());
        loaded = true;
        acceptedWhileLoading.forEach(accepted -> addJob(accepted.submission(), accepted.revision()));
        cancelledWhileLoading.forEach(this::cancelJob);
        context.telemetry()
                .event(
                        EventCode.SCHEDULER_STARTED,
                        "fence=" + fencingToken + " jobs=" + jobs.size() + " ended=" + endedJobs.size()
                                + " recoveredRuns=" + recoveredRuns + " heldMs=" + held.toMillis());
        context.evacuations().start();
        context.liveServers()
                .start(() -> runSupervisor.onServers(context.liveServers().servers()));
        runPeriodicTasks();
        schedulePlacement();
    }

    /** Checks leases, expired job records, waves, hosts, stragglers and pool sizes, and schedules the next check. */
    private void runPeriodicTasks() {
        if (closed) {
            return;
        }
        context.timers().schedule(PERIODIC_TASK_INTERVAL, this::runPeriodicTasks);
        runSupervisor.expireLeases();
        endedJobs.deleteExpired();
        waveCoordinator.advance();
        hostOperations.refresh();
        restartStragglers();
        poolBalancer.rebalance(jobs.values());
        schedulePlacement();
    }

    private void restartStragglers() {
        if (maySendCommands()) {
            long nowNanos = context.holderClock().monotonicNanos();
            stragglerRestarter.restart(server -> eligibility.isUsable(server, nowNanos));
        }
    }

    /**
     * Returns whether the job records have been read and the scheduler is not closed, so that job states can be
     * reported.
     */
    public boolean isLoaded() {
        return loaded && !closed;
    }

    /**
     * Adds an accepted job.
     *
     * @param revision revision of the job's accepted record
     */
    public void addJob(JobSubmission submission, long revision) {
        if (!loaded && !closed) {
            acceptedWhileLoading.add(new Accepted(submission, revision));
            return;
        }
        // An identifier may be submitted again once its records are deleted, which the answer to the deletion confirms.
        boolean known = endedJobs.containsAsOf(submission.id(), revision) || jobs.containsKey(submission.id());
        if (closed || known || unreadableJobs.contains(submission.id())) {
            return;
        }
        endedJobs.remove(submission.id());
        ActiveJob job = new ActiveJob(submission, revision);
        jobs.put(job.id(), job);
        jobOrder.onJobAccepted(job);
        poolBalancer.onJobAccepted(submission);
        schedulePlacement();
    }

    /**
     * Removes a job that was reported although its records were deleted.
     *
     * @param revision revision as of which the job's accepted record does not exist
     */
    public void removeDeletedJob(String id, long revision) {
        acceptedWhileLoading.removeIf(
                accepted -> accepted.submission().id().equals(id) && accepted.revision() <= revision);
        job(id).filter(job -> job.acceptedRevision() <= revision && job.hasNoProgressRecord() && !job.isWriting())
                .ifPresent(this::onDeleted);
    }

    /** Stops a job whose cancellation is stored. */
    public void cancelJob(String id) {
        if (!loaded) {
            cancelledWhileLoading.add(id);
        }
        job(id).ifPresent(this::onCancelled);
    }

    /** Returns the state of a job as far as it is stored; empty for an unknown job. */
    public Optional<JobState> jobState(String id) {
        ActiveJob job = jobs.get(id);
        return job != null ? Optional.of(job.storedState()) : endedJobs.state(id);
    }

    /** Returns the number of open jobs of a queue of which no work item has begun. */
    public long pendingJobs(String queue) {
        return jobs.values().stream()
                .filter(job -> job.submission().queue().equals(queue) && job.isOpen() && !job.hasBegun())
                .count();
    }

    /** Takes note of jobs that entry hosts turned away and returns the outlook for them; empty when there is none. */
    public Optional<Outlook> exchangeOutlook(List<ReturningJob> turnedAway) {
        return isLoaded() ? jobOrder.exchangeOutlook(turnedAway) : Optional.empty();
    }

    @Override
    public Optional<ActiveJob> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    @Override
    public OptionalInt maxAttempts(WorkItem item) {
        if (item.spec().longRunning()) {
            return OptionalInt.of(0);
        }
        JobQueue queue = context.configuration()
                .get()
                .configuration()
                .queues()
                .get(item.job().submission().queue());
        return queue == null ? OptionalInt.empty() : OptionalInt.of(queue.maxAttempts());
    }

    @Override
    public void onRunCompleted(WorkItem item, double tookMs) {
        if (!item.spec().longRunning()) {
            double nearMs = localityPolicy.nearDurationMs(item, tookMs);
            durationModel.add(item.job().submission().queue(), item.spec().estimateMs(), nearMs);
        }
    }

    @Override
    public void onServerReport(TrackedServer server) {
        long nowNanos = context.holderClock().monotonicNanos();
        if (slowServerDetector.updateSlowness(server, nowNanos)) {
            context.telemetry()
                    .event(
                            EventCode.SERVER_SLOW,
                            "server=" + server.incarnation().serverId() + " factor="
                                    + Math.round(server.slowdown() * 10) / 10.0 + " runs="
                                    + server.runs().size());
        }
    }

    @Override
    public Optional<String> ticket(Run run) {
        return ticketCache.ticketForStart(run.id().stepName(), run.incarnation());
    }

    @Override
    public boolean lacksTicket(Run run) {
        JobQueue queue = context.configuration()
                .get()
                .configuration()
                .queues()
                .get(run.item().job().submission().queue());
        return queue != null && queue.advice().isPresent() && ticket(run).isEmpty();
    }

    @Override
    public boolean awaitTicket(Run run, long sinceNanos) {
        return ticketCache.awaitTicket(run.id().stepName(), run.incarnation(), sinceNanos);
    }

    @Override
    public void onTicketAccepted(Run run, long sentNanos) {
        ticketCache.onAccepted(run.id().stepName(), run.incarnation(), sentNanos);
    }

    @Override
    public void onTicketRejected(Run run) {
        ticketCache.onRejected(run.id().stepName(), run.incarnation());
    }

    /** Starts recorded runs at once, as a ticket may have little time left when it arrives, and then others. */
    private void onTicketsChanged() {
        if (!closed) {
            runSupervisor.startWaitingRuns();
            schedulePlacement();
        }
    }

    @Override
    public boolean isLeader() {
        return !closed && isLeaderFor.test(Duration.ZERO);
    }

    @Override
    public boolean maySendCommands() {
        long configurationAgeNanos = context.holderClock().monotonicNanos()
                - context.configuration().get().confirmedNanos();
        return !closed
                && isLeaderFor.test(COMMAND_LEASE_MARGIN)
                && configurationAgeNanos <= MAX_CONFIGURATION_AGE.toNanos()
                && context.liveServers().confirmedWithin(MAX_SERVER_LIST_AGE_AT_START)
                && context.evacuations().allowsStarts();
    }

    @Override
    public void schedulePlacement() {
        if (!roundScheduled && loaded && !closed) {
            roundScheduled = true;
            context.timers().schedule(ROUND_DELAY, this::runRound);
        }
    }

    @Override
    public void leadershipLost(String reason) {
        if (!closed) {
            close();
            leadershipLostListener.accept(reason);
        }
    }

    @Override
    public void onLeadershipLost(String reason) {
        leadershipLost(reason);
    }

    @Override
    public void onCancelled(ActiveJob job) {
        if (!job.isCancelled() && !job.isEnded()) {
            job.cancel();
            job.markDirty();
            runSupervisor.stopAll(job);
            schedulePlacement();
        }
    }

    @Override
    public void onDeleted(ActiveJob job) {
        context.telemetry()
                .event(EventCode.JOB_DELETED, "job=" + job.id() + " acceptedRevision=" + job.acceptedRevision());
        remove(job);
        // No run has been sent a start command, as the first record of the job was not stored.
        job.forEachRun(run -> {
            runRegistry.remove(run);
            run.item().endRun(false);
        });
        job.markEnded();
        job.takeCommitActions().forEach(Runnable::run);
        schedulePlacement();
    }

    private void remove(ActiveJob job) {
        jobs.remove(job.id());
        ticketCache.removeJob(job.id());
        teamLimits.removeJob(job.id());
        jobOrder.removeJob(job);
    }

    @Override
    public void onWriteFinished(ActiveJob job) {
        if (job.isEnded()) {
            remove(job);
            endedJobs.add(job.id(), job.state(), job.acceptedRevision());
            context.telemetry().count(CounterCode.JOBS_ENDED, job.state().name());
            context.telemetry()
                    .event(
                            EventCode.JOB_ENDED,
                            "job=" + job.id() + " state=" + job.state() + " "
                                    + job.summary(context.holderClock().millis()) + " targetMs="
                                    + Math.round(jobOrder.targetMs(job)));
        }
        schedulePlacement();
    }

    /**
     * Places waiting work items, stops the runs of jobs that are no longer open, and writes changed progress records.
     */
    private void runRound() {
        roundScheduled = false;
        if (closed) {
            return;
        }
        long plannedTimeMs = context.plannedTime().millis();
        jobs.values().forEach(job -> job.createDueOccurrences(plannedTimeMs));
        runSupervisor.decideDeferredFailures(jobs.values());
        runSupervisor.startWaitingRuns();
        JobConfigurationSnapshot snapshot = context.configuration().get();
        if (maySendCommands() && context.liveServers().confirmedWithin(MAX_SERVER_LIST_AGE)) {
            long nowNanos = context.holderClock().monotonicNanos();
            List<ActiveJob> orderedJobs = jobOrder.sorted(jobs.values(), nowNanos);
            new PlacementRound(
                            snapshot.configuration(),
                            runRegistry,
                            teamLimits,
                            ticketCache,
                            server -> eligibility.isUsable(server, nowNanos),
                            eligibility::holdsRunsLonger,
                            localityPolicy.round(snapshot.configuration(), orderedJobs, nowNanos),
                            nowNanos,
                            this::beginRun)
                    .place(orderedJobs);
        }
        for (ActiveJob job : jobs.values()) {
            boolean settled = job.state().isFinal() && !job.hasRuns();
            if (settled && !job.isWriting()) {
                job.markDirty();
            } else if (!job.isOpen()) {
                runSupervisor.stopAll(job);
            }
        }
        progressWriter.flush(jobs.values());
    }

    private void beginRun(WorkItem item, TrackedServer server) {
        int last = item.spec().gang()
                ? item.job().stepOf(item.id()).stream()
                        .mapToInt(WorkItem::lastRun)
                        .max()
                        .orElse(0)
                : item.lastRun();
        int number = item.spec().gang() && item.run().isEmpty() ? gangNumber(item, last) : last + 1;
        runSupervisor.beginRun(item, server, number);
    }

    /**
     * Returns the run number of a gang member: one more than the highest number that any member has used, or the
     * highest number itself if another member has already started with it.
     */
    private static int gangNumber(WorkItem item, int last) {
        return item.job().stepOf(item.id()).stream()
                        .anyMatch(member -> member.run().isPresent())
                ? last
                : last + 1;
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            runSupervisor.close();
            hostOperations.close();
            progressWriter.close();
            context.liveServers().stop();
            context.evacuations().stop();
            context.telemetry().event(EventCode.SCHEDULER_STOPPED, "fence=" + fencingToken);
        }
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;

/**
 * Schedules the work items of all jobs while one entry host holds the scheduler duty.
 *
 * <p>A run is stored before it is ordered and an end is stored before it is acknowledged, each on condition that the
 * duty is still held. A holder that takes over reads these records and asks every backend server what runs there; the
 * question carries the new fencing number, after which the server ignores the earlier holder.
 */
public final class JobScheduler implements AutoCloseable, RunSupervisor.Owner, ProgressWriter.Listener {
    /** Changes within this time are placed and stored together. */
    private static final Duration ROUND_DELAY = Duration.ofMillis(12);

    /** Leases end and hosts come back within this much of the time that they are due. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    /** Time between two tries to read the jobs; the store refuses for seconds when it is down. */
    private static final Duration LOAD_RETRY = Duration.ofMillis(200);
    /** Starts on a draining server have to end within bounds.drainMs, 2 s or more. */
    private static final Duration SERVER_LIST_AGE = Duration.ofMillis(1400);

    /** The same bound at the order itself, after the run's record was stored. */
    private static final Duration SERVER_LIST_AGE_AT_ORDER = Duration.ofMillis(1800);
    /** Starts follow a configuration that was the newest within this time. */
    private static final Duration SITE_AGE = Duration.ofMillis(2800);
    /** Time on the duty's lease that a start may take on its way. */
    private static final Duration ORDER_MARGIN = Duration.ofMillis(250);

    private final SchedulerContext context;
    private final long fencingToken;
    private final Predicate<Duration> isLeaderFor;
    private final Consumer<String> onLost;
    private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
    private final EndedJobs ended;
    private final RunRegistry runRegistry = new RunRegistry();
    private final RunSupervisor runSupervisor;
    private final ProgressWriter writer;
    private final HostOperations hosts;
    private final WaveCoordinator waves;
    private final PoolBalancer balancer;
    private final DurationModel durations = DurationModel.create();
    private final JobOrder order;
    private final TicketCache ticketCache;
    private final SlowServerDetector slowServerDetector = new SlowServerDetector(durations);
    private final StragglerRestarter stragglers;
    private final List<JobSubmission> acceptedWhileLoading = new ArrayList<>();
    private final List<String> cancelledWhileLoading = new ArrayList<>();
    private boolean loaded;
    private boolean roundDue;
    private boolean closed;

    private JobScheduler(SchedulerContext context, long fence, Predicate<Duration> heldFor, Consumer<String> onLost) {
        this.context = context;
        this.fencingToken = fence;
        this.isLeaderFor = heldFor;
        this.onLost = onLost;
        this.runSupervisor = new RunSupervisor(context, fence, runRegistry, this);
        this.ended = new EndedJobs(context, fence);
        this.ticketCache = new TicketCache(context, this::changed);
        this.order = new JobOrder(context, durations);
        this.hosts = new HostOperations(context, fence, heldFor);
        this.stragglers = new StragglerRestarter(context, runRegistry, runSupervisor, slowServerDetector);
        ServerDrainer evacuation = new ServerDrainer(context, runRegistry, runSupervisor, hosts);
        this.waves = new WaveCoordinator(context, hosts, evacuation);
        this.balancer = new PoolBalancer(context, hosts, evacuation, durations);
        this.writer =
                new ProgressWriter(context.store(), context.keys(), context.timers(), context.telemetry(), fence, this);
    }

    /**
     * Starts scheduling as the new holder of the duty.
     *
     * @param context what it works with
     * @param fence fencing number of the duty
     * @param heldFor whether the duty is held for some time from now
     * @param onLost told once when another entry host is found to hold the duty
     */
    public static JobScheduler takeOver(
            SchedulerContext context, long fence, Predicate<Duration> heldFor, Consumer<String> onLost) {
        JobScheduler scheduler = new JobScheduler(context, fence, heldFor, onLost);
        scheduler.load();
        return scheduler;
    }

    /**
     * Reads all records at once. Progress and final states stand still meanwhile, as only the holder of the duty writes
     * them; jobs and cancellations that come meanwhile are told by the directory.
     */
    private void load() {
        RecoveredJobRecords read = new RecoveredJobRecords();
        List<String> prefixes = List.of(
                context.keys().jobsAccepted(),
                context.keys().jobsProgress(),
                context.keys().jobsCancelled(),
                context.keys().jobsEnded());
        prefixes.forEach(prefix -> load(read, prefix, prefixes));
    }

    private void load(RecoveredJobRecords read, String prefix, List<String> prefixes) {
        if (closed) {
            return;
        }
        Completions.then(context.store().range(prefix), context.telemetry(), "records of jobs", result -> {
            if (result.isLeft()) {
                context.telemetry()
                        .event(EventCode.JOBS_READ_FAILED, result.getLeft().detail());
                context.timers().schedule(LOAD_RETRY, () -> load(read, prefix, prefixes));
                return;
            }
            read.add(prefix, result.get().entries());
            if (read.hasAll(prefixes)) {
                onLoaded(read);
            }
        });
    }

    private void onLoaded(RecoveredJobRecords read) {
        if (closed) {
            return;
        }
        long lapseNanos =
                context.clock().monotonicNanos() + context.options().lease().toNanos() * 21 / 20;
        read.ended(context.keys().jobsEnded()).forEach(ended::add);
        read.accepted(context.keys().jobsAccepted(), context.telemetry()).forEach(submission -> {
            if (!ended.contains(submission.id()) && !jobs.containsKey(submission.id())) {
                ActiveJob job = new ActiveJob(submission);
                read.progress(context.keys().jobProgress(submission.id()))
                        .ifPresent(found -> job.restore(found.record(), found.revision()));
                if (read.isCancelled(context.keys().jobCancelled(submission.id()))) {
                    job.cancel();
                }
                jobs.put(job.id(), job);
                runSupervisor.inherit(job, lapseNanos);
            }
        });
        loaded = true;
        acceptedWhileLoading.forEach(this::addJob);
        cancelledWhileLoading.forEach(this::cancelJob);
        context.telemetry()
                .event(
                        EventCode.SCHEDULER_STARTED,
                        "fence=" + fencingToken + " jobs=" + jobs.size() + " ended=" + ended.size());
        context.servers().start(() -> runSupervisor.onServers(context.servers().servers()));
        sweep();
        changed();
    }

    private void sweep() {
        if (closed) {
            return;
        }
        context.timers().schedule(SWEEP_INTERVAL, this::sweep);
        runSupervisor.sweep();
        ended.deleteOld();
        waves.step();
        hosts.refresh();
        restartStragglers();
        balancer.step(jobs.values());
        changed();
    }

    private void restartStragglers() {
        if (mayOrder()) {
            long nowNanos = context.clock().monotonicNanos();
            stragglers.restart(server -> usable(server, nowNanos));
        }
    }

    /** Whether the jobs are read, so that states can be told. */
    public boolean loaded() {
        return loaded && !closed;
    }

    /** Adds a job that has been accepted. */
    public void addJob(JobSubmission submission) {
        if (!loaded && !closed) {
            acceptedWhileLoading.add(submission);
            return;
        }
        if (closed || ended.contains(submission.id()) || jobs.containsKey(submission.id())) {
            return;
        }
        ActiveJob job = new ActiveJob(submission);
        jobs.put(job.id(), job);
        order.accepted(job);
        balancer.accepted(submission);
        changed();
    }

    /** Stops a job whose cancellation is stored. */
    public void cancelJob(String id) {
        if (!loaded) {
            cancelledWhileLoading.add(id);
        }
        job(id).ifPresent(this::onCancelled);
    }

    /** State of a job, as far as it is stored; empty when the job is not known. */
    public Optional<JobState> jobState(String id) {
        ActiveJob job = jobs.get(id);
        return job != null ? Optional.of(job.storedState()) : ended.state(id);
    }

    /** Number of a queue's jobs of which no work item has been started. */
    public long pendingJobs(String queue) {
        return jobs.values().stream()
                .filter(job -> job.submission().queue().equals(queue) && job.isOpen() && !job.started())
                .count();
    }

    @Override
    public Optional<ActiveJob> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    @Override
    public int maxAttempts(WorkItem item) {
        if (item.spec().longRunning()) {
            return 0;
        }
        JobQueue queue = context.configuration()
                .get()
                .configuration()
                .queues()
                .get(item.job().submission().queue());
        return queue == null ? 1 : queue.maxAttempts();
    }

    @Override
    public void ranToEnd(WorkItem item, double tookMs) {
        durations.add(item.job().submission().queue(), item.spec().estimateMs(), tookMs);
    }

    @Override
    public void reported(TrackedServer server) {
        long nowNanos = context.clock().monotonicNanos();
        if (slowServerDetector.judge(server, nowNanos)) {
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
        return ticketCache.ticket(run.id().stepName(), run.incarnation().serverId());
    }

    @Override
    public boolean isLeader() {
        return !closed && isLeaderFor.test(Duration.ZERO);
    }

    @Override
    public boolean mayOrder() {
        long siteAgeNanos =
                context.clock().monotonicNanos() - context.configuration().get().confirmedNanos();
        return !closed
                && isLeaderFor.test(ORDER_MARGIN)
                && siteAgeNanos <= SITE_AGE.toNanos()
                && context.servers().confirmedWithin(SERVER_LIST_AGE_AT_ORDER);
    }

    @Override
    public void changed() {
        if (!roundDue && loaded && !closed) {
            roundDue = true;
            context.timers().schedule(ROUND_DELAY, this::round);
        }
    }

    @Override
    public void leadershipLost(String reason) {
        if (!closed) {
            close();
            onLost.accept(reason);
        }
    }

    @Override
    public void onLeadershipLost(String reason) {
        leadershipLost(reason);
    }

    @Override
    public void onCancelled(ActiveJob job) {
        if (!job.cancelled() && !job.ended()) {
            job.cancel();
            job.markDirty();
            runSupervisor.stopAll(job);
            changed();
        }
    }

    @Override
    public void onWritten(ActiveJob job) {
        if (job.ended()) {
            jobs.remove(job.id());
            ticketCache.forget(job.id());
            order.forget(job.id());
            ended.add(job.id(), job.state());
            context.telemetry().count(CounterCode.JOBS_ENDED, job.state().name());
            context.telemetry()
                    .event(
                            EventCode.JOB_ENDED,
                            "job=" + job.id() + " state=" + job.state() + " "
                                    + job.summary(context.clock().millis()) + " targetMs="
                                    + Math.round(order.targetMs(job)));
        }
        changed();
    }

    private void round() {
        roundDue = false;
        if (closed) {
            return;
        }
        long nowMs = context.clock().millis();
        jobs.values().forEach(job -> job.openDue(nowMs));
        JobConfigurationSnapshot view = context.configuration().get();
        if (mayOrder() && context.servers().confirmedWithin(SERVER_LIST_AGE)) {
            long nowNanos = context.clock().monotonicNanos();
            List<ActiveJob> inOrder = order.of(jobs.values(), cores(nowNanos));
            new PlacementRound(
                            view.configuration(),
                            runRegistry,
                            ticketCache,
                            server -> usable(server, nowNanos),
                            nowNanos,
                            this::begin)
                    .place(inOrder);
        }
        for (ActiveJob job : jobs.values()) {
            boolean settled = job.state().isFinal() && !job.hasRuns();
            if (settled && !job.writing()) {
                job.markDirty();
            } else if (!job.isOpen()) {
                runSupervisor.stopAll(job);
            }
        }
        writer.flush(jobs.values());
    }

    private void begin(WorkItem item, TrackedServer server) {
        int last = item.spec().gang()
                ? item.job().stepOf(item.id()).stream()
                        .mapToInt(WorkItem::lastRun)
                        .max()
                        .orElse(0)
                : item.lastRun();
        int number = item.spec().gang() && item.run().isEmpty() ? gangNumber(item, last) : last + 1;
        runSupervisor.begin(item, server, number);
    }

    /** All members of a gang take the number after the highest that any of them has used. */
    private static int gangNumber(WorkItem item, int last) {
        return item.job().stepOf(item.id()).stream()
                        .anyMatch(member -> member.run().isPresent())
                ? last
                : last + 1;
    }

    /** Processors of each pool's usable servers that long-running work leaves, cores. */
    private Map<String, Double> cores(long nowNanos) {
        Map<String, Double> cores = new HashMap<>();
        for (TrackedServer server : runRegistry.servers()) {
            if (usable(server, nowNanos)) {
                long longRunning = server.longRunningCpuMillis();
                long capacity = server.view().orElseThrow().capacity().cpuMillis();
                cores.merge(server.view().get().pool(), (capacity - longRunning) / 1000.0, Double::sum);
            }
        }
        return cores;
    }

    private boolean usable(TrackedServer server, long nowNanos) {
        return server.view().filter(view -> !view.draining()).isPresent()
                && !server.over()
                && server.answeredWithin(TrackedServer.ANSWER_AGE, nowNanos)
                && !server.avoided(nowNanos)
                && !server.slow(nowNanos)
                && !server.failing(nowNanos)
                && !hosts.closedToWork(server.incarnation().serverId());
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            runSupervisor.close();
            hosts.close();
            writer.close();
            context.servers().stop();
            context.telemetry().event(EventCode.SCHEDULER_STOPPED, "fence=" + fencingToken);
        }
    }
}

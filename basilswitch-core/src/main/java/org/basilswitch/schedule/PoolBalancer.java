package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.forecast.DemandObservation;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/**
 * Moves hosts between pools according to their current and projected load, and moves idle hosts to the standby pool.
 */
final class PoolBalancer {
    /**
     * Fraction of a pool's processors that is planned for; the rest is lost to fragmentation, as items do not fit
     * exactly.
     */
    private static final double USABLE_FRACTION = 0.8;
    /** Time over which load is projected: a moved host is back after 1.5 s and its server is listed 0.5 s later. */
    private static final Duration MOVE_LEAD_TIME = Duration.ofMillis(2000);
    /**
     * Idle time before a host moves to standby. The move there and back costs as much as 2.3 s of a host, which is
     * unavailable for 1.5 s each time.
     */
    private static final Duration IDLE_TIME_BEFORE_STANDBY = Duration.ofMillis(900);
    /** Hosts are given away based on the maximum need within this time, so that they do not move back and forth. */
    private static final Duration NEED_WINDOW = Duration.ofMillis(1500);
    /** Time between a host coming up and its backend server being listed and having answered. */
    private static final Duration SERVER_JOIN_TIME = Duration.ofMillis(2500);
    /**
     * Fraction of the waiting work that is planned for: items run one after the other within the job's target time, so
     * that not all of them need capacity at once.
     */
    private static final double WAITING_FRACTION = 0.7;
    /** Maximum fraction of all hosts that one pool is given. */
    private static final double MAX_POOL_FRACTION = 0.6;
    /** Idle hosts that a pool keeps to absorb the first second of a load peak. */
    private static final int SPARE_HOSTS = 1;
    /** Minimum number of hosts of a pool for its base load, on two racks where possible. */
    private static final int MIN_HOSTS = 2;

    private final SchedulerContext context;
    private final HostOperations hostOperations;
    private final ServerDrainer serverDrainer;
    private final DurationModel durationModel;
    private final OfferedLoad offeredLoad = new OfferedLoad();
    private final DemandObservation demandObservation = new DemandObservation();
    private final Map<String, Long> idleSinceNanos = new HashMap<>();
    private final Map<String, SlidingMaximum> recentNeeds = new HashMap<>();

    PoolBalancer(
            SchedulerContext context,
            HostOperations hostOperations,
            ServerDrainer serverDrainer,
            DurationModel durationModel) {
        this.context = context;
        this.hostOperations = hostOperations;
        this.serverDrainer = serverDrainer;
        this.durationModel = durationModel;
    }

    private JobConfiguration configuration() {
        return context.configuration().get().configuration();
    }

    private Optional<String> poolOf(JobSubmission submission) {
        return Optional.ofNullable(configuration().queues().get(submission.queue()))
                .map(JobQueue::pool);
    }

    /**
     * Adds a submitted job to the offered load of its pool. Long-running jobs are not counted, as their use is
     * measured.
     */
    void onJobAccepted(JobSubmission submission) {
        if (!submission.isLongRunning()) {
            long nowNanos = context.holderClock().monotonicNanos();
            poolOf(submission).ifPresent(pool -> {
                demandObservation.onArrival(pool, nowNanos);
                offeredLoad.add(pool, expectedCoreMs(submission), nowNanos);
            });
        }
    }

    /** Returns the expected work of a job in core-milliseconds. */
    private double expectedCoreMs(JobSubmission submission) {
        double work = 0;
        for (StepSpec step : submission.steps()) {
            double cores = step.count() * step.reserved().cpuMillis() / 1000.0;
            work += cores * durationModel.expectedMs(submission.queue(), step.estimateMs());
        }
        return work;
    }

    /** Plans moves of hosts and sends them, if there is a standby pool and the hosts are known. */
    void rebalance(Iterable<ActiveJob> jobs) {
        Optional<JobPool> standby = configuration().standbyPool();
        long nowNanos = context.holderClock().monotonicNanos();
        if (standby.isEmpty() || !hostOperations.hasHosts()) {
            return;
        }
        Map<String, WaitingWork> waiting = waitingWork(jobs);
        List<JobPool> pools = configuration().pools().values().stream()
                .filter(pool -> !pool.standby())
                .toList();
        int maxHosts = hostOperations.all().size() - MIN_HOSTS * (pools.size() - 1);
        List<HostPlan.PoolNeed> needs = new ArrayList<>();
        for (JobPool pool : pools) {
            needs.add(poolNeed(pool.name(), waiting.getOrDefault(pool.name(), WaitingWork.NONE), maxHosts, nowNanos));
        }
        needs.sort(Comparator.comparingInt(need -> need.hosts().size() - need.neededHosts()));
        List<String> standbyHosts = hostOperations.all().stream()
                .filter(host -> host.pool().equals(standby.get().name())
                        && isMovable(host)
                        && !context.evacuations().isEvacuated(host.zone()))
                .map(HostControl.PlatformHost::name)
                .toList();
        if (hostOperations.maySendCommands()) {
            HostPlan.planMoves(needs, standbyHosts).forEach(move -> sendMove(move, standby.get()));
        }
    }

    /** Returns whether a host is up, has no pending command and is not being drained. */
    private boolean isMovable(HostControl.PlatformHost host) {
        return host.state() == HostControl.PlatformHostState.UP
                && !hostOperations.hasPendingCommand(host.name())
                && !hostOperations.isDraining(host.name());
    }

    /**
     * Work items that are ready but not running.
     *
     * @param amount resources that they request
     * @param hosts hosts that the most widely spread step needs with its running items, where few of its items may share one
     */
    private record WaitingWork(Resources amount, int hosts) {
        private static final WaitingWork NONE = new WaitingWork(Resources.NONE, 0);

        private WaitingWork plus(WaitingWork other) {
            return new WaitingWork(amount.plus(other.amount), Math.max(hosts, other.hosts));
        }

        private static WaitingWork of(List<WorkItem> step) {
            StepSpec spec = step.get(0).spec();
            int waiting = (int) step.stream().filter(WorkItem::isWaiting).count();
            if (waiting == 0) {
                return NONE;
            }
            int running =
                    (int) step.stream().filter(item -> item.run().isPresent()).count();
            int hosts = spec.maxPerServer() > 0 ? Math.ceilDiv(waiting + running, spec.maxPerServer()) : 0;
            return new WaitingWork(spec.reserved().times(waiting), hosts);
        }
    }

    /** Returns the work items that are ready but not running, by pool. */
    private Map<String, WaitingWork> waitingWork(Iterable<ActiveJob> jobs) {
        Map<String, WaitingWork> waiting = new HashMap<>();
        for (ActiveJob job : jobs) {
            if (job.isOpen()) {
                poolOf(job.submission())
                        .ifPresent(pool -> job.forEachReadyStep(
                                step -> waiting.merge(pool, WaitingWork.of(step), WaitingWork::plus)));
            }
        }
        return waiting;
    }

    /** Returns the hosts of a pool and how many of them it needs. */
    private HostPlan.PoolNeed poolNeed(String pool, WaitingWork waiting, int maxHosts, long nowNanos) {
        Resources used = Resources.NONE;
        double longRunningCpu = 0;
        double hostCpu = 0;
        double hostMemory = 0;
        List<HostPlan.PoolHost> poolHosts = new ArrayList<>();
        for (HostControl.PlatformHost host : hostOperations.all()) {
            if (!hostOperations.targetPoolOf(host).equals(pool)
                    || isLost(host, nowNanos)
                    || context.evacuations().isEvacuated(host.zone())
                    || hostOperations.isDraining(host.name())) {
                continue;
            }
            hostCpu = Math.max(hostCpu, host.capacity().cpuMillis());
            hostMemory = Math.max(hostMemory, host.capacity().memoryMb());
            Optional<TrackedServer> server = serverDrainer.serverOf(host.name());
            used = used.plus(server.map(TrackedServer::used).orElse(Resources.NONE));
            longRunningCpu += server.map(TrackedServer::longRunningCpuMillis).orElse(0L);
            poolHosts.add(poolHost(host, server, nowNanos));
        }
        double requestedCpu = used.cpuMillis() + waiting.amount().cpuMillis() * WAITING_FRACTION;
        double projectedCpu = longRunningCpu + offeredLoad.projectedCores(pool, MOVE_LEAD_TIME, nowNanos) * 1000;
        int neededForCpu = Math.max(MIN_HOSTS, hosts(Math.max(requestedCpu, projectedCpu), hostCpu));
        int needed = Math.min(neededForCpu, (int)
                Math.ceil(MAX_POOL_FRACTION * hostOperations.all().size()));
        // Items that wait for memory or for another server run on no host that is full of processor work.
        int neededForMemory = waiting.amount().memoryMb() == 0
                ? 0
                : hosts(used.memoryMb() + waiting.amount().memoryMb() * WAITING_FRACTION, hostMemory);
        int neededBesides = Math.max(waiting.hosts(), neededForMemory > neededForCpu ? neededForMemory : 0);
        needed = Math.max(needed, Math.min(neededBesides, maxHosts));
        SlidingMaximum recentMaximum = recentNeeds.computeIfAbsent(pool, name -> new SlidingMaximum(NEED_WINDOW));
        recentMaximum.add(needed, nowNanos);
        int retained = Math.max((int) recentMaximum.maximum(nowNanos), MIN_HOSTS) + SPARE_HOSTS;
        return new HostPlan.PoolNeed(pool, needed, retained, demandObservation.isObserved(pool, nowNanos), poolHosts);
    }

    /** Returns the number of hosts that an amount needs with some room for fragmentation; 0 while their size is unknown. */
    private static int hosts(double amount, double perHost) {
        return perHost > 0 ? (int) Math.ceil(amount / (perHost * USABLE_FRACTION)) : 0;
    }

    /**
     * Returns whether a host cannot be counted on: it is down, or its backend server is slow, failing, silent or
     * missing.
     */
    private boolean isLost(HostControl.PlatformHost host, long nowNanos) {
        if (host.state() != HostControl.PlatformHostState.UP || hostOperations.hasPendingCommand(host.name())) {
            return host.state() == HostControl.PlatformHostState.DOWN;
        }
        return serverDrainer
                .serverOf(host.name())
                .map(tracked -> tracked.isSlow(nowNanos)
                        || tracked.isFailing(nowNanos)
                        || !tracked.answeredWithin(TrackedServer.MAX_ANSWER_AGE, nowNanos)
                                && !hostOperations.cameUpWithin(host.name(), SERVER_JOIN_TIME))
                .orElseGet(() -> !hostOperations.cameUpWithin(host.name(), SERVER_JOIN_TIME));
    }

    private HostPlan.PoolHost poolHost(HostControl.PlatformHost host, Optional<TrackedServer> server, long nowNanos) {
        boolean idle = isMovable(host) && server.isPresent() && !server.get().hasRuns();
        if (!idle) {
            idleSinceNanos.remove(host.name());
        }
        long sinceNanos = idle ? idleSinceNanos.computeIfAbsent(host.name(), name -> nowNanos) : nowNanos;
        return new HostPlan.PoolHost(
                host.name(), idle, idle && nowNanos - sinceNanos >= IDLE_TIME_BEFORE_STANDBY.toNanos());
    }

    private void sendMove(HostPlan.Move move, JobPool standby) {
        String pool = move.pool().orElse(standby.name());
        idleSinceNanos.remove(move.host());
        hostOperations.sendCommand(
                move.host(),
                Optional.of(pool),
                () -> context.hostControl().move(move.host(), pool, hostOperations.fencingToken()),
                "pool=" + pool);
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.StepSpec;

/** Moves hosts between pools as demand moves, ahead of it while it rises, and rests idle hosts. */
final class PoolBalancer {
    /** Part of a pool's processors that is planned for; the rest is lost where work items do not fit exactly. */
    private static final double USABLE_PART = 0.8;
    /** A moved host is back after 1.5 s and listed half a second later. */
    private static final Duration LEAD = Duration.ofMillis(2000);
    /** Two moves cost as much as 2.3 s of a host, and it is away for 1.5 s each time. */
    private static final Duration REST_AFTER = Duration.ofMillis(900);
    /** Need is taken as the most of this time when hosts are given away, so that they do not go back and forth. */
    private static final Duration HOLD_TIME = Duration.ofMillis(1500);
    /** Time from when a host is up until its backend server is listed and has answered. */
    private static final Duration ARRIVAL_TIME = Duration.ofMillis(2500);
    /** Waiting work runs one part after the other within its time, so that not all of it needs room at once. */
    private static final double WAITING_PART = 0.7;
    /** Most hosts that one pool is given, as a part of all. */
    private static final double MOST_HOSTS_PART = 0.6;
    /** Idle hosts that a pool keeps, for the first second of a peak. */
    private static final int SPARE_HOSTS = 1;
    /** Hosts that a pool keeps for its base load, on two racks where it can. */
    private static final int LEAST_HOSTS = 2;

    private final SchedulerContext context;
    private final HostOperations hosts;
    private final ServerDrainer serverDrainer;
    private final DurationModel durations;
    private final OfferedLoad load = new OfferedLoad();
    private final Map<String, Long> idleSinceNanos = new HashMap<>();
    private final Map<String, SlidingMaximum> needs = new HashMap<>();

    PoolBalancer(SchedulerContext context, HostOperations hosts, ServerDrainer evacuation, DurationModel durations) {
        this.context = context;
        this.hosts = hosts;
        this.serverDrainer = evacuation;
        this.durations = durations;
    }

    private JobConfiguration configuration() {
        return context.configuration().get().configuration();
    }

    private Optional<String> poolOf(JobSubmission submission) {
        return Optional.ofNullable(configuration().queues().get(submission.queue()))
                .map(JobQueue::pool);
    }

    /** Notes a job that was handed in. */
    void accepted(JobSubmission submission) {
        if (!submission.isLongRunning()) {
            poolOf(submission)
                    .ifPresent(pool ->
                            load.add(pool, work(submission), context.clock().monotonicNanos()));
        }
    }

    private double work(JobSubmission submission) {
        double work = 0;
        for (StepSpec step : submission.steps()) {
            double cores = step.count() * step.reserved().cpuMillis() / 1000.0;
            work += cores * durations.expectedMs(submission.queue(), step.estimateMs());
        }
        return work;
    }

    /** Plans and orders moves. */
    void step(Iterable<ActiveJob> jobs) {
        Optional<JobPool> standby = configuration().standbyPool();
        long nowNanos = context.clock().monotonicNanos();
        if (standby.isEmpty() || !hosts.known()) {
            return;
        }
        Map<String, Double> waitingCpu = waitingCpu(jobs);
        List<HostPlan.PoolNeed> needs = new ArrayList<>();
        for (JobPool pool : configuration().pools().values()) {
            if (!pool.standby()) {
                needs.add(need(pool.name(), waitingCpu.getOrDefault(pool.name(), 0.0), nowNanos));
            }
        }
        needs.sort(Comparator.comparingInt(need -> need.hosts().size() - need.needed()));
        List<String> resting = hosts.all().stream()
                .filter(host -> host.pool().equals(standby.get().name()) && movable(host))
                .map(HostControl.PlatformHost::name)
                .toList();
        if (hosts.mayOrder()) {
            HostPlan.of(needs, resting).forEach(move -> order(move, standby.get()));
        }
    }

    private boolean movable(HostControl.PlatformHost host) {
        return host.state() == HostControl.PlatformHostState.UP
                && !hosts.isOrdered(host.name())
                && !hosts.isEmptying(host.name());
    }

    /** Processor time asked for by work items that could run and do not, thousandths of a core, by pool. */
    private Map<String, Double> waitingCpu(Iterable<ActiveJob> jobs) {
        Map<String, Double> waiting = new HashMap<>();
        for (ActiveJob job : jobs) {
            if (!job.isOpen()) {
                continue;
            }
            poolOf(job.submission())
                    .ifPresent(pool -> job.forEachReadyStep(step -> {
                        StepSpec spec = step.get(0).spec();
                        long items = step.stream().filter(WorkItem::waiting).count();
                        waiting.merge(pool, (double) items * spec.reserved().cpuMillis(), Double::sum);
                    }));
        }
        return waiting;
    }

    private HostPlan.PoolNeed need(String pool, double waitingCpu, long nowNanos) {
        double usedCpu = 0;
        double longRunningCpu = 0;
        double hostCpu = 0;
        List<HostPlan.IdleHost> members = new ArrayList<>();
        for (HostControl.PlatformHost host : hosts.all()) {
            if (!hosts.poolOf(host).equals(pool) || isLost(host, nowNanos) || hosts.isEmptying(host.name())) {
                continue;
            }
            hostCpu = Math.max(hostCpu, host.capacity().cpuMillis());
            Optional<TrackedServer> server = serverDrainer.serverOf(host.name());
            usedCpu += server.map(state -> state.used().cpuMillis()).orElse(0L);
            longRunningCpu += server.map(TrackedServer::longRunningCpuMillis).orElse(0L);
            members.add(member(host, server, nowNanos));
        }
        double asked = usedCpu + waitingCpu * WAITING_PART;
        double coming = longRunningCpu + load.projectedCores(pool, LEAD, nowNanos) * 1000;
        int needed = LEAST_HOSTS;
        if (hostCpu > 0) {
            needed = Math.max(needed, (int) Math.ceil(Math.max(asked, coming) / (hostCpu * USABLE_PART)));
        }
        needed = Math.min(needed, (int) Math.ceil(MOST_HOSTS_PART * hosts.all().size()));
        SlidingMaximum recent = needs.computeIfAbsent(pool, name -> new SlidingMaximum(HOLD_TIME));
        recent.add(needed, nowNanos);
        int keep = Math.max((int) recent.maximum(nowNanos), LEAST_HOSTS) + SPARE_HOSTS;
        return new HostPlan.PoolNeed(pool, needed, keep, members);
    }

    /** Whether a host can't be counted on: it is down, or its backend server is silent or missing. */
    private boolean isLost(HostControl.PlatformHost host, long nowNanos) {
        if (host.state() != HostControl.PlatformHostState.UP || hosts.isOrdered(host.name())) {
            return host.state() == HostControl.PlatformHostState.DOWN;
        }
        return serverDrainer
                .serverOf(host.name())
                .map(state -> state.slow(nowNanos)
                        || state.failing(nowNanos)
                        || !state.answeredWithin(TrackedServer.ANSWER_AGE, nowNanos)
                                && !hosts.upWithin(host.name(), ARRIVAL_TIME))
                .orElseGet(() -> !hosts.upWithin(host.name(), ARRIVAL_TIME));
    }

    private HostPlan.IdleHost member(HostControl.PlatformHost host, Optional<TrackedServer> server, long nowNanos) {
        boolean idle = movable(host) && server.isPresent() && !server.get().hasRuns();
        if (!idle) {
            idleSinceNanos.remove(host.name());
        }
        long sinceNanos = idle ? idleSinceNanos.computeIfAbsent(host.name(), name -> nowNanos) : nowNanos;
        return new HostPlan.IdleHost(host.name(), idle, idle && nowNanos - sinceNanos >= REST_AFTER.toNanos());
    }

    private void order(HostPlan.Move move, JobPool standby) {
        String pool = move.pool().orElse(standby.name());
        idleSinceNanos.remove(move.host());
        hosts.order(
                move.host(),
                Optional.of(pool),
                () -> context.hosts().move(move.host(), pool, hosts.fencingToken()),
                "pool=" + pool);
    }
}

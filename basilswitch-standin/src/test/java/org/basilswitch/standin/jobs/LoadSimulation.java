package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.BackendServer;

/**
 * Simulates half a minute of load on four pools with rotating peaks: each queue in turn submits four times its
 * mean rate for four seconds and a twentieth in between. Counts the jobs that were on time.
 */
final class LoadSimulation {
    /** Duration of one queue's peak. */
    private static final Duration PEAK_DURATION = Duration.ofSeconds(4);

    /** Rate of a queue during its peak, relative to its mean rate. */
    private static final double PEAK_RATE_FACTOR = 4.0;
    /** Rate of a queue outside its peak, relative to its mean rate. */
    private static final double QUIET_RATE_FACTOR = 0.05;

    private static final Duration LOAD_DURATION = Duration.ofSeconds(32);
    /** Maximum time after the load for late jobs to complete. */
    private static final Duration COMPLETION_TIME = Duration.ofSeconds(20);

    private static final Duration TICK = Duration.ofMillis(10);
    private static final Resources HOST_CAPACITY = new Resources(64_000, 262_144, 0);
    private static final long TARGET_MS = 600;
    private static final double STRETCH_FACTOR = 1.6;

    private static final int LONG_RUNNING_WIDTH = 24;
    private static final long LONG_RUNNING_CPU_MILLIS = 9000;

    /**
     * Load of one queue, which has its own pool.
     *
     * @param name name of the queue and its pool
     * @param hosts number of hosts of the pool
     * @param jobsPerS mean rate, jobs per second
     * @param steps mean number of steps of a job
     * @param width mean number of work items of a step
     * @param workMs mean duration of a work item, ms
     * @param cpuMillis mean processors of a work item, thousandths of a core
     * @param speculativeFraction fraction of the jobs whose work items may run as copies
     */
    record QueueLoad(
            String name,
            int hosts,
            double jobsPerS,
            double steps,
            double width,
            double workMs,
            long cpuMillis,
            double speculativeFraction) {}

    /**
     * Result of a simulation.
     *
     * @param jobs number of jobs submitted
     * @param onTime number of jobs whose last work item was done within the target
     * @param late number of jobs done later
     * @param onTimeValueFraction value of the jobs on time as a fraction of the total value
     * @param hostSeconds seconds of hosts in pools other than standby
     * @param moves number of host moves
     */
    record Report(int jobs, int onTime, int late, double onTimeValueFraction, double hostSeconds, int moves) {
        double onTimeFraction() {
            return onTime / (double) Math.max(1, jobs);
        }
    }

    private record Event(long atMs, Runnable action) {}

    private record Job(long submittedMs, double targetMs, double value, int lastStep, int lastWidth) {}

    final JobFleet fleet = new JobFleet();
    private final List<QueueLoad> queueLoads;
    private final UniformRandomProvider random;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, Long> doneMs = new HashMap<>();
    private final Map<ItemId, Double> durationFactors = new HashMap<>();
    private final Set<String> failingJobs = new HashSet<>();
    private double failingJobFraction;
    private double slowServerFraction;
    private double slowServerFactor = 1;
    private double hostSeconds;
    private int entryHosts = 3;
    private int longRunningJobsPerQueue;
    private final List<Event> events = new ArrayList<>();
    private long startMs;
    private int lastJobNumber;

    private LoadSimulation(List<QueueLoad> demands, int standbyHosts, long seed) {
        this.queueLoads = demands;
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        List<JobQueue> queues = new ArrayList<>();
        List<JobPool> pools = new ArrayList<>();
        int host = 0;
        for (QueueLoad queueLoad : demands) {
            queues.add(new JobQueue(
                    queueLoad.name,
                    "host",
                    "/" + queueLoad.name + "/",
                    queueLoad.name,
                    3000,
                    TARGET_MS,
                    0,
                    3,
                    STRETCH_FACTOR,
                    false,
                    null));
            pools.add(new JobPool(queueLoad.name, true, false));
            for (int i = 0; i < queueLoad.hosts; i++, host++) {
                fleet.model.addServer("s" + host, queueLoad.name, HOST_CAPACITY, "rack-" + host / 4);
            }
        }
        pools.add(new JobPool("standby", true, true));
        fleet.configure(
                queues, List.of(new JobTeam("team", Set.of(JobFleet.KEY), 1000, new Resources(0, 0, 0))), pools);
        for (int i = 0; i < standbyHosts; i++, host++) {
            fleet.model.addStandbyHost("s" + host, "standby", HOST_CAPACITY, "rack-" + host / 4);
        }
        fleet.model.setWorkTimes(this::workTime);
    }

    static LoadSimulation create(List<QueueLoad> demands, int standbyHosts, long seed) {
        return new LoadSimulation(demands, standbyHosts, seed);
    }

    /** Creates a simulation of four queues like those of the users' first site. */
    static LoadSimulation withRotatingPeaks(long seed) {
        return create(
                List.of(
                        new QueueLoad("dispatch", 8, 5.2, 1.6, 6, 800, 3500, 0.3),
                        new QueueLoad("billing", 8, 0.61, 2, 8, 2100, 7700, 0),
                        new QueueLoad("booking", 8, 6.5, 1.6, 6, 800, 3500, 0.3),
                        new QueueLoad("compliance", 8, 0.74, 2, 8, 2100, 7700, 0)),
                16,
                seed);
    }

    /** Creates a simulation of four queues like those of the users' large site, where half of the room is lasting work. */
    static LoadSimulation withRotatingPeaksOnLargeFleet(long seed) {
        LoadSimulation simulation = create(
                List.of(
                        new QueueLoad("dispatch", 66, 12, 1.6, 7.7, 800, 9100, 0.3),
                        new QueueLoad("billing", 74, 2.2, 2, 8, 1700, 20_000, 0),
                        new QueueLoad("booking", 82, 15, 1.6, 7.7, 800, 9100, 0.3),
                        new QueueLoad("compliance", 90, 2.7, 2, 8, 1700, 20_000, 0)),
                60,
                seed);
        simulation.entryHosts = 9;
        simulation.longRunningJobsPerQueue = 4;
        return simulation;
    }

    /**
     * Loses the leaders in series: one leaves, one is suspended, one is killed and one is cut off from the store. Returns
     * the time from the start of the load at which the last fault ends, in ms.
     */
    int loseLeadersInSeries() {
        at(3000, () -> fleet.leader().leave());
        at(8500, () -> fleet.timeOf(fleet.leader()).suspendFor(Duration.ofMillis(2500)));
        at(15_000, () -> fleet.killProcess(fleet.leader()));
        at(18_000, () -> {
            int index = fleet.nodes.indexOf(fleet.leader());
            fleet.clients.get(index).setReachable(false);
            fleet.time.schedule(
                    Duration.ofMillis(5000), () -> fleet.clients.get(index).setReachable(true));
        });
        return 23_000;
    }

    /** Steps the wall clock of the leader ahead, and back after a while, twice. */
    void stepWallClockOfLeader(Duration step, Duration length) {
        for (int ms = 2000; ms <= 18_000; ms += 16_000) {
            at(ms, () -> {
                NodeTime leader = fleet.timeOf(fleet.leader());
                leader.stepWallClock(step);
                fleet.time.schedule(length, () -> leader.stepWallClock(step.negated()));
            });
        }
    }

    /** Sets the wall clocks of all entry hosts but the leader back. */
    void setOtherWallClocksBack(Duration step) {
        at(
                1000,
                () -> fleet.nodes.stream()
                        .filter(node -> node != fleet.leader())
                        .forEach(node -> fleet.timeOf(node).stepWallClock(step.negated())));
    }

    private void at(long ms, Runnable action) {
        events.add(new Event(ms, action));
    }

    /** Makes the servers of a fraction of the hosts slower by a factor. */
    void makeServersSlow(double fraction, double factor) {
        slowServerFraction = fraction;
        slowServerFactor = factor;
    }

    /** Makes all work fail on a fraction of the servers. */
    void makeServersFail(double fraction) {
        fleet.model.setFailurePolicy((item, run, server) -> isSelected(server, fraction));
    }

    /** Makes a fraction of the jobs fail on all servers; they are not counted. */
    void makeJobsFail(double fraction) {
        failingJobFraction = fraction;
        fleet.model.setFailurePolicy((item, run, server) -> failingJobs.contains(item.job()));
    }

    /**
     * Returns whether a server is in the selected fraction. The selection is by host, as the identifiers of all its
     * incarnations have the host's name in common.
     */
    private static boolean isSelected(BackendServer server, double fraction) {
        String host = server.id().replaceAll("-[0-9]+$", "").replaceAll("^host-", "");
        return Math.floorMod(host.hashCode() * 0x9E3779B9, 1000) < fraction * 1000;
    }

    private Duration workTime(ItemId item, BackendServer server) {
        double ms = fleet.model.step(item).orElseThrow().estimateMs() * durationFactors.getOrDefault(item, 1.0);
        return Duration.ofNanos((long) (ms * (isSelected(server, slowServerFraction) ? slowServerFactor : 1) * 1e6));
    }

    /** Starts the entry hosts, runs the simulation and returns its result. */
    Report run() {
        for (int i = 0; i < entryHosts; i++) {
            fleet.addNode();
        }
        fleet.runFor(3000);
        for (QueueLoad queueLoad : queueLoads) {
            for (int i = 0; i < longRunningJobsPerQueue; i++) {
                submitLongRunning(queueLoad);
            }
        }
        startMs = fleet.time.millis();
        events.forEach(event -> fleet.time.schedule(Duration.ofMillis(event.atMs), event.action));
        while (fleet.time.millis() - startMs < LOAD_DURATION.toMillis()) {
            long elapsedMs = fleet.time.millis() - startMs;
            int peakQueue = (int) (elapsedMs / PEAK_DURATION.toMillis()) % queueLoads.size();
            for (int i = 0; i < queueLoads.size(); i++) {
                double rate = queueLoads.get(i).jobsPerS * (i == peakQueue ? PEAK_RATE_FACTOR : QUIET_RATE_FACTOR);
                if (random.nextDouble() < rate * TICK.toMillis() / 1000.0) {
                    submit(queueLoads.get(i));
                }
            }
            tick();
        }
        for (long ms = 0; ms < COMPLETION_TIME.toMillis() && doneMs.size() < jobs.size(); ms += TICK.toMillis()) {
            tick();
        }
        return report();
    }

    private void tick() {
        fleet.runFor(TICK.toMillis());
        hostSeconds += fleet.model.countHostsOutside("standby") * TICK.toMillis() / 1000.0;
        long nowMs = fleet.time.millis();
        jobs.forEach((id, job) -> {
            if (!doneMs.containsKey(id) && isDone(id, job)) {
                doneMs.put(id, nowMs);
            }
        });
    }

    private boolean isDone(String id, Job job) {
        for (int i = 0; i < job.lastWidth; i++) {
            if (!fleet.model.invariants().isDone(new ItemId(id, 0, job.lastStep, i))) {
                return false;
            }
        }
        return true;
    }

    /** Returns a sample of a log-normal distribution with a relative standard deviation, limited to a maximum. */
    private double logNormal(double mean, double relativeDeviation, double max) {
        double gauss = Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
        double sigma = Math.sqrt(Math.log(1 + relativeDeviation * relativeDeviation));
        return Math.min(max, mean * Math.exp(sigma * gauss - sigma * sigma / 2));
    }

    private void submitLongRunning(QueueLoad queueLoad) {
        String id = JobFleet.id(++lastJobNumber);
        fleet.submit(
                fleet.readyNode(lastJobNumber),
                queueLoad.name,
                id,
                List.of(JobFleet.longRunning(LONG_RUNNING_WIDTH, LONG_RUNNING_CPU_MILLIS, 2)));
    }

    private void submit(QueueLoad queueLoad) {
        String id = JobFleet.id(++lastJobNumber);
        int count = (int) Math.max(1, Math.round(logNormal(queueLoad.steps, 0.4, queueLoad.steps * 2.5)));
        boolean speculative = random.nextDouble() < queueLoad.speculativeFraction;
        List<StepSpec> steps = new ArrayList<>();
        double chainMs = 0;
        double work = 0;
        int width = 1;
        for (int s = 0; s < count; s++) {
            width = (int) Math.max(1, Math.round(logNormal(queueLoad.width, 0.6, queueLoad.width * 4)));
            long cpu = (long) logNormal(queueLoad.cpuMillis, 0.45, queueLoad.cpuMillis * 3.0);
            double meanMs = logNormal(queueLoad.workMs, 0.5, queueLoad.workMs * 2.5);
            long estimateMs = (long) Math.max(50, meanMs * logNormal(1, 0.5, 3));
            double longestMs = 0;
            for (int i = 0; i < width; i++) {
                double itemMs = meanMs * logNormal(1, 0.15, 2);
                durationFactors.put(new ItemId(id, 0, s, i), itemMs / estimateMs);
                longestMs = Math.max(longestMs, itemMs);
                work += cpu * itemMs;
            }
            chainMs += longestMs;
            steps.add(new StepSpec(
                    width,
                    new Resources(cpu, 3000, 0),
                    estimateMs,
                    s == 0 ? List.of() : List.of(s - 1),
                    false,
                    false,
                    false,
                    null,
                    null,
                    0,
                    speculative,
                    false,
                    null,
                    0,
                    false,
                    0));
        }
        if (random.nextDouble() < failingJobFraction) {
            failingJobs.add(id);
            fleet.submit(fleet.readyNode(lastJobNumber), queueLoad.name, id, steps);
            return;
        }
        double mean = queueLoad.steps * queueLoad.width * queueLoad.workMs * queueLoad.cpuMillis;
        jobs.put(
                id,
                new Job(
                        fleet.time.millis(),
                        STRETCH_FACTOR * chainMs + TARGET_MS,
                        Math.min(4, 0.3 + 0.7 * work / mean),
                        count - 1,
                        width));
        fleet.submit(fleet.readyNode(lastJobNumber), queueLoad.name, id, steps);
    }

    /** Returns the value on time as a fraction of the value submitted, by time of submission. */
    List<Double> onTimeByWindow(long windowMs) {
        int windows = (int) (LOAD_DURATION.toMillis() / windowMs);
        double[] total = new double[windows];
        double[] onTime = new double[windows];
        jobs.forEach((id, job) -> {
            int window = (int) Math.min(windows - 1, (job.submittedMs - startMs) / windowMs);
            total[window] += job.value;
            onTime[window] += isOnTime(id, job) ? job.value : 0;
        });
        return IntStream.range(0, windows)
                .mapToObj(window -> onTime[window] / Math.max(1e-9, total[window]))
                .toList();
    }

    /** Returns the accepted jobs that were not done, with their events. */
    List<String> acceptedButUnfinished() {
        return jobs.keySet().stream()
                .filter(id -> !doneMs.containsKey(id))
                .map(id -> fleet.events.stream()
                        .filter(event -> event.contains(id))
                        .toList()
                        .toString())
                .filter(events -> events.contains(" JOB_ACCEPTED "))
                .toList();
    }

    private boolean isOnTime(String id, Job job) {
        Long endMs = doneMs.get(id);
        return endMs != null && endMs - job.submittedMs <= job.targetMs + TICK.toMillis();
    }

    private Report report() {
        int onTime = 0;
        int late = 0;
        double totalValue = 0;
        double onTimeValue = 0;
        for (Map.Entry<String, Job> entry : jobs.entrySet()) {
            Job job = entry.getValue();
            totalValue += job.value;
            Long endMs = doneMs.get(entry.getKey());
            if (endMs == null) {
                continue;
            }
            if (isOnTime(entry.getKey(), job)) {
                onTime++;
                onTimeValue += job.value;
            } else {
                late++;
            }
        }
        return new Report(jobs.size(), onTime, late, onTimeValue / totalValue, hostSeconds, fleet.model.moveCount());
    }
}

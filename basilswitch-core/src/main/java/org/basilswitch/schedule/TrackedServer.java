package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/** What the scheduler knows of one lifetime of a backend server: its runs, its clock, its lease and its ends. */
final class TrackedServer {
    private static final long NANOS_PER_MS = 1_000_000;
    /** A server that is silent for longer, two holds, is not counted on and gets no new work. */
    static final Duration MAX_ANSWER_AGE = Duration.ofMillis(1900);

    /** A server's clock may be 2 % slow; a lease lasts longer by as much. */
    static final double SLOWEST_CLOCK_RATE = 0.98;

    /** Keeps the shift within its range; the longest pause is reached before. */
    private static final int MAX_DOUBLINGS = 8;

    private final BackendServer.Incarnation incarnation;
    private Optional<BackendServer> listing;
    private final Map<RunKey, Run> runs = new LinkedHashMap<>();
    private Resources used = Resources.NONE;
    private long longRunningCpuMillis;
    private boolean clockKnown;
    private long clockMs;
    private long clockReadNanos;
    private long leaseExpiryNanos;
    private long lastEnd;
    private long lastReportNanos = Long.MIN_VALUE;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private final Set<String> failedJobs = new HashSet<>();
    private long lastSuccessNanos = Long.MIN_VALUE;
    private long failingUntilNanos = Long.MIN_VALUE;
    private int failingPeriods;
    private final TreeSet<Long> unstoredEnds = new TreeSet<>();
    private boolean ended;
    private long slowUntilNanos = Long.MIN_VALUE;
    private double slowdown = 1;

    /** Names a run on this server. */
    record RunKey(ItemId item, int run) {}

    TrackedServer(BackendServer.Incarnation incarnation, Optional<BackendServer> listing) {
        this.incarnation = incarnation;
        this.listing = listing;
    }

    BackendServer.Incarnation incarnation() {
        return incarnation;
    }

    /** The entry in the list of live servers; empty when it is missing there. */
    Optional<BackendServer> listing() {
        return listing;
    }

    void setListing(Optional<BackendServer> listing) {
        this.listing = listing;
    }

    List<Run> runs() {
        return new ArrayList<>(runs.values());
    }

    boolean hasRuns() {
        return !runs.isEmpty();
    }

    boolean isIdle() {
        return runs.isEmpty() && unstoredEnds.isEmpty();
    }

    Optional<Run> run(ItemId item, int number) {
        return Optional.ofNullable(runs.get(new RunKey(item, number)));
    }

    void add(Run run) {
        if (runs.put(new RunKey(run.id(), run.number()), run) == null) {
            used = used.plus(run.item().spec().reserved());
            longRunningCpuMillis += longRunningCpuMillis(run);
        }
    }

    void remove(Run run) {
        if (runs.remove(new RunKey(run.id(), run.number())) != null) {
            used = used.minus(run.item().spec().reserved());
            longRunningCpuMillis -= longRunningCpuMillis(run);
        }
    }

    Resources free() {
        return listing.map(server -> server.capacity().minus(used)).orElse(Resources.NONE);
    }

    Resources used() {
        return used;
    }

    /** Processor time reserved for long-running work, thousandths of a core. */
    long longRunningCpuMillis() {
        return longRunningCpuMillis;
    }

    private static long longRunningCpuMillis(Run run) {
        StepSpec spec = run.item().spec();
        return spec.longRunning() ? spec.reserved().cpuMillis() : 0;
    }

    /** Takes the server's clock from a report that arrived now. */
    void recordClock(long serverClockMs, long nowNanos) {
        clockKnown = true;
        clockMs = serverClockMs;
        clockReadNanos = nowNanos;
        lastReportNanos = nowNanos;
    }

    /** Lease end on the server's clock for a lease given now; empty while the clock is not known. */
    Optional<Long> leaseEnd(Duration lease, long nowNanos) {
        if (!clockKnown) {
            return Optional.empty();
        }
        long sinceReadMs = (nowNanos - clockReadNanos) / NANOS_PER_MS;
        long endMs = clockMs + sinceReadMs + lease.toMillis();
        long longestMs = (long) Math.ceil((endMs - clockMs) / SLOWEST_CLOCK_RATE);
        leaseExpiryNanos = Math.max(leaseExpiryNanos, clockReadNanos + longestMs * NANOS_PER_MS);
        return Optional.of(endMs);
    }

    /** Time from which no run of this lifetime is at work, unless its lease is extended. */
    long leaseExpiryNanos() {
        return leaseExpiryNanos;
    }

    void extendLeaseExpiry(long nanos) {
        leaseExpiryNanos = Math.max(leaseExpiryNanos, nanos);
    }

    boolean answeredWithin(Duration duration, long nowNanos) {
        return lastReportNanos != Long.MIN_VALUE && nowNanos - lastReportNanos <= duration.toNanos();
    }

    /** Registers an end; returns whether it is new. */
    boolean addEnd(long number) {
        if (number <= lastEnd) {
            return false;
        }
        lastEnd = number;
        unstoredEnds.add(number);
        return true;
    }

    void markEndStored(long number) {
        unstoredEnds.remove(number);
    }

    /** Number of the last end up to which all are stored. */
    long lastStoredEnd() {
        return unstoredEnds.isEmpty() ? lastEnd : unstoredEnds.first() - 1;
    }

    void avoidUntil(long nanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, nanos);
    }

    boolean isAvoided(long nowNanos) {
        return nowNanos < avoidUntilNanos;
    }

    /** Notes that it works more slowly than others. */
    void markSlow(double factor, long untilNanos) {
        slowdown = factor;
        slowUntilNanos = untilNanos;
    }

    void clearSlow() {
        slowdown = 1;
        slowUntilNanos = Long.MIN_VALUE;
    }

    /** Whether it was found slow of late. */
    boolean isSlow(long nowNanos) {
        return nowNanos < slowUntilNanos;
    }

    /** How many times as long work took when it was last found slow; 1 when it has worked well since. */
    double slowdown() {
        return slowdown;
    }

    /** Notes that a work item of a job has failed here; returns the number of such jobs since the last success. */
    int countFailure(String job) {
        failedJobs.add(job);
        return failedJobs.size();
    }

    /** Takes back the failures of a job that fails elsewhere as well. */
    void clearFailure(String job) {
        if (failedJobs.remove(job) && failedJobs.isEmpty()) {
            failingUntilNanos = Long.MIN_VALUE;
        }
    }

    void countSuccess(long nowNanos) {
        failedJobs.clear();
        failingPeriods = 0;
        lastSuccessNanos = nowNanos;
    }

    /** Keeps new work away for a time that doubles until a work item is done here; returns it. */
    Duration markFailing(Duration initial, Duration max, long nowNanos) {
        Duration pause = initial.multipliedBy(1L << Math.min(failingPeriods, MAX_DOUBLINGS));
        if (pause.compareTo(max) > 0) {
            pause = max;
        }
        failingPeriods++;
        failingUntilNanos = nowNanos + pause.toNanos();
        return pause;
    }

    /** Whether new work is kept away because work items of several jobs have failed here. */
    boolean isFailing(long nowNanos) {
        return nowNanos < failingUntilNanos;
    }

    /** Whether work items have failed here since the last success. */
    boolean hasFailuresSinceSuccess() {
        return !failedJobs.isEmpty();
    }

    /** Whether a work item was done here within some time. */
    boolean succeededWithin(Duration duration, long nowNanos) {
        return lastSuccessNanos != Long.MIN_VALUE && nowNanos - lastSuccessNanos <= duration.toNanos();
    }

    boolean isEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}

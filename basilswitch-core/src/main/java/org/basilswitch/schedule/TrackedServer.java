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

/** Scheduler state of one backend server incarnation: its runs, clock, lease, unstored run ends and failures. */
final class TrackedServer {
    private static final long NANOS_PER_MS = 1_000_000;
    /**
     * Maximum age of the last report, which is the time of two lease renewals; a server that is silent for longer gets
     * no new work.
     */
    static final Duration MAX_ANSWER_AGE = Duration.ofMillis(1900);

    /** Maximum number of doublings, which keeps the shift within its range; the maximum pause is reached earlier. */
    private static final int MAX_DOUBLINGS = 8;

    private final BackendServer.Incarnation incarnation;
    private Optional<BackendServer> listing;
    private final Map<RunKey, Run> runs = new LinkedHashMap<>();
    private Resources used = Resources.NONE;
    private long longRunningCpuMillis;
    private boolean clockKnown;
    private long clockMs;
    private long clockReadSteadyNanos;
    private final LeaseGrants leaseGrants;
    private long fencingToken;
    private long lastEnd;
    private long lastAcknowledgedEnd;
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

    /** Key of a run on this server. */
    record RunKey(ItemId item, int run) {}

    /**
     * Creates a server without runs.
     *
     * @param fencingToken fencing token of calls to this incarnation
     * @param maxLease longest lease that the server grants
     */
    TrackedServer(
            BackendServer.Incarnation incarnation,
            Optional<BackendServer> listing,
            long fencingToken,
            Duration maxLease) {
        this.incarnation = incarnation;
        this.listing = listing;
        this.fencingToken = fencingToken;
        this.leaseGrants = LeaseGrants.none(maxLease);
    }

    BackendServer.Incarnation incarnation() {
        return incarnation;
    }

    /** Returns the fencing token of calls to this incarnation. */
    long fencingToken() {
        return fencingToken;
    }

    void setFencingToken(long token) {
        fencingToken = token;
    }

    /** Returns the entry in the list of live servers; empty when the list does not contain it. */
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

    /** Returns whether the server has neither runs nor unstored run ends. */
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

    /** Returns the processors reserved for long-running work, in thousandths of a core. */
    long longRunningCpuMillis() {
        return longRunningCpuMillis;
    }

    private static long longRunningCpuMillis(Run run) {
        StepSpec spec = run.item().spec();
        return spec.longRunning() ? spec.reserved().cpuMillis() : 0;
    }

    /**
     * Records the server's clock from a report that arrived now.
     *
     * @param serverClockMs the server's clock, ms
     * @param nowNanos monotonic time that includes suspensions, ns
     * @param nowSteadyNanos steady time, ns
     */
    void recordClock(long serverClockMs, long nowNanos, long nowSteadyNanos) {
        clockKnown = true;
        clockMs = serverClockMs;
        clockReadSteadyNanos = nowSteadyNanos;
        lastReportNanos = nowNanos;
    }

    /**
     * Returns the end, on the server's clock, of a lease given now; empty while the clock is not known. Extends the
     * expected lease expiry accordingly.
     *
     * <p>The steady time never runs ahead, so that the lease is never longer than the next leader assumes.
     */
    Optional<Long> leaseEnd(Duration lease, long nowSteadyNanos) {
        if (!clockKnown) {
            return Optional.empty();
        }
        long sinceReadMs = (nowSteadyNanos - clockReadSteadyNanos) / NANOS_PER_MS;
        long endMs = clockMs + sinceReadMs + lease.toMillis();
        Duration longest = LeaseGrants.onSlowestClock(Duration.ofMillis(endMs - clockMs));
        leaseGrants.extendExpiry(clockReadSteadyNanos + longest.toNanos());
        return Optional.of(endMs);
    }

    /** Returns the lease ends sent to this incarnation and what follows from them. */
    LeaseGrants leaseGrants() {
        return leaseGrants;
    }

    boolean answeredWithin(Duration duration, long nowNanos) {
        return lastReportNanos != Long.MIN_VALUE && nowNanos - lastReportNanos <= duration.toNanos();
    }

    /** Returns the time since the last report; empty before the first one. */
    Optional<Duration> reportAge(long nowNanos) {
        return lastReportNanos == Long.MIN_VALUE
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(nowNanos - lastReportNanos));
    }

    /** Registers the end of a run and returns whether it is new. */
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

    /** Returns the number of the last end up to which all ends are stored. */
    long lastStoredEnd() {
        return unstoredEnds.isEmpty() ? lastEnd : unstoredEnds.first() - 1;
    }

    /** Returns whether ends are stored that this incarnation has not been told of. */
    boolean hasEndsToAcknowledge() {
        return lastStoredEnd() > lastAcknowledgedEnd;
    }

    /**
     * Returns the number of the last end to acknowledge; 0, which acknowledges none, when that was answered before. The
     * numbers start anew with each incarnation, so that the next one could take a repetition for its own ends.
     */
    long endToAcknowledge() {
        return hasEndsToAcknowledge() ? lastStoredEnd() : 0;
    }

    /** Records that this incarnation has answered a call that acknowledged the ends up to a number. */
    void markAcknowledged(long number) {
        lastAcknowledgedEnd = Math.max(lastAcknowledgedEnd, number);
    }

    void avoidUntil(long nanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, nanos);
    }

    /** Returns whether new work is kept away for a short time after a rejected start. */
    boolean isAvoided(long nowNanos) {
        return nowNanos < avoidUntilNanos;
    }

    /** Marks the server as slower than others until a monotonic time. */
    void markSlow(double factor, long untilNanos) {
        slowdown = factor;
        slowUntilNanos = untilNanos;
    }

    void clearSlow() {
        slowdown = 1;
        slowUntilNanos = Long.MIN_VALUE;
    }

    /** Returns whether the server is marked as slow. */
    boolean isSlow(long nowNanos) {
        return nowNanos < slowUntilNanos;
    }

    /**
     * Returns the factor by which work took longer when the server was last marked as slow; 1 if it has been normal
     * since.
     */
    double slowdown() {
        return slowdown;
    }

    /**
     * Records a failure of a job's work item on this server and returns the number of jobs with failures since the last
     * success.
     */
    int countFailure(String job) {
        failedJobs.add(job);
        return failedJobs.size();
    }

    /** Clears the failures of a job that also fails on other servers. */
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

    /** Keeps new work away for a time that doubles until a work item succeeds on this server; returns that time. */
    Duration markFailing(Duration initial, Duration max, long nowNanos) {
        Duration pause = initial.multipliedBy(1L << Math.min(failingPeriods, MAX_DOUBLINGS));
        if (pause.compareTo(max) > 0) {
            pause = max;
        }
        failingPeriods++;
        failingUntilNanos = nowNanos + pause.toNanos();
        return pause;
    }

    /** Returns whether new work is kept away because work items of several jobs have failed on this server. */
    boolean isFailing(long nowNanos) {
        return nowNanos < failingUntilNanos;
    }

    /** Returns whether work items have failed on this server since the last success. */
    boolean hasFailuresSinceSuccess() {
        return !failedJobs.isEmpty();
    }

    /** Returns whether a work item has completed on this server within the given time. */
    boolean succeededWithin(Duration duration, long nowNanos) {
        return lastSuccessNanos != Long.MIN_VALUE && nowNanos - lastSuccessNanos <= duration.toNanos();
    }

    /** Returns whether this incarnation has ended. */
    boolean isEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.job.ItemId;

/** One run of a work item on one incarnation of a backend server. */
final class Run {
    /**
     * Minimum interval for a rate of progress; progress is reported in whole percent, which is too coarse for shorter
     * ones.
     */
    private static final Duration MIN_RATE_INTERVAL = Duration.ofMillis(250);
    /**
     * Time without progress after which the rate is zero; longer than a run takes to resume from a checkpoint, 600 ms
     * or less.
     */
    private static final Duration STALLED_AFTER = Duration.ofMillis(1000);

    private static final int FULL_PACE_PERCENT = 100;
    /** Pace of a run while it is not known: that of an earlier leader, or after a command without a result. */
    static final int UNKNOWN_PACE_PERCENT = -1;

    private final WorkItem item;
    private final int number;
    private final BackendServer.Incarnation incarnation;
    private final boolean recovered;
    private Phase phase;
    /** Monotonic time since which reports of the server include this run or its end, ns; 0 while not known. */
    private long confirmedNanos;

    private int percent;
    private long load;
    private boolean progressKnown;
    /** Start of the interval over which progress is measured, on the server's clock, ms. */
    private long progressSinceMs;

    private int progressSincePercent;
    private long firstReportServerMs;
    private long lastReportServerMs;
    private Optional<Double> percentPerMs = Optional.empty();
    private int pacePercent;
    private boolean reported;
    private Duration hold = Duration.ZERO;
    private boolean stopping;
    private long unconfirmedNanos;
    private long startedNanos;
    private long startedServerMs;
    private Optional<String> rack = Optional.empty();
    private double expectedSlowdown = 1;

    /** Phases of a run. */
    enum Phase {
        /** The record is being stored; no command was sent. */
        RECORDING,
        /** The start command was sent. */
        START_SENT,
        /** The start command was not answered; the run continues if the server reports it, and is stopped otherwise. */
        UNCONFIRMED,
        /** The server has confirmed the run. */
        RUNNING,
        /** The run is only known from the record of an earlier leader. */
        RECOVERED
    }

    private Run(WorkItem item, int number, BackendServer.Incarnation incarnation, Phase phase) {
        this.item = item;
        this.number = number;
        this.incarnation = incarnation;
        this.phase = phase;
        this.recovered = phase == Phase.RECOVERED;
        this.pacePercent = recovered && item.spec().usesSpareCapacity() ? UNKNOWN_PACE_PERCENT : FULL_PACE_PERCENT;
    }

    static Run create(WorkItem item, int number, BackendServer.Incarnation incarnation, Phase phase) {
        return new Run(item, number, incarnation, phase);
    }

    WorkItem item() {
        return item;
    }

    ItemId id() {
        return item.id();
    }

    int number() {
        return number;
    }

    BackendServer.Incarnation incarnation() {
        return incarnation;
    }

    Phase phase() {
        return phase;
    }

    void setPhase(Phase phase) {
        this.phase = phase;
    }

    /** Returns whether the run was taken over from the record of an earlier leader; its phase changes with reports. */
    boolean isRecovered() {
        return recovered;
    }

    /** Marks the start as unconfirmed because its command was not answered. */
    void markUnconfirmed(long nowNanos) {
        phase = Phase.UNCONFIRMED;
        unconfirmedNanos = nowNanos;
    }

    /** Returns whether the start was unconfirmed at a monotonic time and still is. */
    boolean isUnconfirmedSince(long nanos) {
        return phase == Phase.UNCONFIRMED && unconfirmedNanos <= nanos;
    }

    boolean isStopping() {
        return stopping;
    }

    void markStopping() {
        stopping = true;
    }

    long confirmedNanos() {
        return confirmedNanos;
    }

    /** Records that reports of the server sent after this time include this run or its end. */
    void confirm(long nowNanos) {
        confirmedNanos = nowNanos;
    }

    int percent() {
        return percent;
    }

    long load() {
        return load;
    }

    /**
     * Returns the time for which this run may be in progress without a report of its server, if that is longer than its
     * lease; zero otherwise.
     */
    Duration hold() {
        return hold;
    }

    void setHold(Duration time) {
        hold = time;
    }

    /** Returns whether a report of this incarnation has listed the run; the answer to a start names no incarnation. */
    boolean isReported() {
        return reported;
    }

    /**
     * Records a report of progress and load.
     *
     * @param percent completed percentage of the work
     * @param load load as reported
     * @param serverClockMs the server's clock at the report, so that transmission delays do not count, ms
     */
    void observe(int percent, long load, long serverClockMs) {
        this.reported = true;
        this.percent = percent;
        this.load = load;
        lastReportServerMs = serverClockMs;
        if (!progressKnown) {
            firstReportServerMs = serverClockMs;
            // The time to resume from a checkpoint is unknown, so progress is measured from the first report.
            boolean fresh = startedNanos > 0 && item.checkpoint().isEmpty();
            progressKnown = true;
            progressSinceMs = fresh ? startedServerMs : serverClockMs;
            progressSincePercent = fresh ? 0 : percent;
        }
        long intervalMs = serverClockMs - progressSinceMs;
        int progress = percent - progressSincePercent;
        if (intervalMs >= (progress > 0 ? MIN_RATE_INTERVAL : STALLED_AFTER).toMillis()) {
            percentPerMs = Optional.of(progress / (double) intervalMs);
            if (progress > 0) {
                progressSinceMs = serverClockMs;
                progressSincePercent = percent;
            }
        }
    }

    /** Returns the time between the first and the last report that listed the run, on the server's clock. */
    Duration reportedTime() {
        return Duration.ofMillis(lastReportServerMs - firstReportServerMs);
    }

    /** Returns the latest rate of progress, in percent per millisecond; empty before there are enough reports. */
    Optional<Double> percentPerMs() {
        return percentPerMs;
    }

    /**
     * Returns the remaining time at the latest rate of progress, in ms; empty before there are enough reports, infinite
     * without progress.
     */
    Optional<Double> remainingMs() {
        return percentPerMs.map(rate -> rate > 0 ? (100 - percent) / rate : Double.POSITIVE_INFINITY);
    }

    int pacePercent() {
        return pacePercent;
    }

    void setPacePercent(int percent) {
        this.pacePercent = percent;
    }

    /** Returns the rack of the server, if known. */
    Optional<String> rack() {
        return rack;
    }

    void setRack(Optional<String> rack) {
        this.rack = rack;
    }

    /** Returns the factor by which the run is expected to take longer, as it is away from its data or group. */
    double expectedSlowdown() {
        return expectedSlowdown;
    }

    void setExpectedSlowdown(double factor) {
        expectedSlowdown = factor;
    }

    long startedNanos() {
        return startedNanos;
    }

    /**
     * Records when the start command was sent.
     *
     * @param nanos monotonic time, ns
     * @param serverMs the server's clock, ms
     */
    void setStarted(long nanos, long serverMs) {
        startedNanos = nanos;
        startedServerMs = serverMs;
    }

    @Override
    public String toString() {
        return item.id() + "#" + number + "@" + incarnation.serverId();
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.job.ItemId;

/** One start of a work item on one lifetime of a backend server. */
final class Run {
    /** Progress comes in whole percent; over a shorter time it says little. */
    private static final Duration MIN_RATE_INTERVAL = Duration.ofMillis(250);
    /** Longer than a run takes to resume from a checkpoint, 600 ms or less. */
    private static final Duration STALLED_AFTER = Duration.ofMillis(1000);

    private final WorkItem item;
    private final int number;
    private final BackendServer.Incarnation incarnation;
    private Phase phase;
    /** Monotonic time since which reports of the server include this run or its end, ns; 0 while not known. */
    private long confirmedNanos;

    private int percent;
    private long load;
    private boolean progressKnown;
    /** Start of the interval over which progress is measured, on the server's clock, ms. */
    private long progressSinceMs;

    private int progressSincePercent;
    private Optional<Double> percentPerMs = Optional.empty();
    private int pacePercent = 100;
    private boolean stopping;
    private long unconfirmedNanos;
    private long startedNanos;
    private long startedServerMs;
    private Optional<String> rack = Optional.empty();

    /** How far a run has come. */
    enum Phase {
        /** Its record is being written; nothing was ordered. */
        RECORDING,
        /** The start was sent. */
        START_SENT,
        /** The start had no answer; it is looked for, and barred when it is not at work. */
        UNCONFIRMED,
        /** The server has confirmed it. */
        RUNNING,
        /** Known from the record of an earlier holder only. */
        RECOVERED
    }

    private Run(WorkItem item, int number, BackendServer.Incarnation incarnation, Phase phase) {
        this.item = item;
        this.number = number;
        this.incarnation = incarnation;
        this.phase = phase;
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

    /** Notes that its start had no answer. */
    void markUnconfirmed(long nowNanos) {
        phase = Phase.UNCONFIRMED;
        unconfirmedNanos = nowNanos;
    }

    /** Whether its start had had no answer at some time, and nothing has settled the doubt. */
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
     * Takes a report of its progress and load.
     *
     * @param serverClockMs the server's clock at the report, so that delays on the way do not count, ms
     */
    void observe(int percent, long load, long serverClockMs) {
        this.percent = percent;
        this.load = load;
        if (!progressKnown) {
            // The time to resume from a checkpoint is not known, so that progress counts from the first report.
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

    /** Latest progress, percent a millisecond; empty while too little has been seen. */
    Optional<Double> percentPerMs() {
        return percentPerMs;
    }

    /** Time until it is done if it goes on as of late, ms; empty while too little has been seen. */
    Optional<Double> remainingMs() {
        return percentPerMs.map(rate -> rate > 0 ? (100 - percent) / rate : Double.POSITIVE_INFINITY);
    }

    int pacePercent() {
        return pacePercent;
    }

    void setPacePercent(int percent) {
        this.pacePercent = percent;
    }

    /** The rack of its server, if known. */
    Optional<String> rack() {
        return rack;
    }

    void setRack(Optional<String> rack) {
        this.rack = rack;
    }

    long startedNanos() {
        return startedNanos;
    }

    /**
     * Notes when it was ordered.
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

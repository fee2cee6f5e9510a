package org.basilswitch.schedule;

import java.util.Optional;

import org.basilswitch.job.ItemId;

/** One start of a work item on one lifetime of a backend server. */
final class Run {
    private final WorkItem item;
    private final int number;
    private final BackendServer.Lifetime lifetime;
    private Phase phase;
    /** Monotonic time since which reports of the server include this run or its end, ns; 0 while not known. */
    private long settledNanos;

    private int percent;
    private long load;
    private int pacePercent = 100;
    private boolean stopping;
    private long startedNanos;
    private Optional<String> rack = Optional.empty();

    /** How far a run has come. */
    enum Phase {
        /** Its record is being written; nothing was ordered. */
        RECORDING,
        /** The start was sent. */
        ORDERED,
        /** The start had no answer; the run is to be barred. */
        DOUBTFUL,
        /** The server has confirmed it. */
        RUNNING,
        /** Known from the record of an earlier holder only. */
        INHERITED
    }

    private Run(WorkItem item, int number, BackendServer.Lifetime lifetime, Phase phase) {
        this.item = item;
        this.number = number;
        this.lifetime = lifetime;
        this.phase = phase;
    }

    static Run create(WorkItem item, int number, BackendServer.Lifetime lifetime, Phase phase) {
        return new Run(item, number, lifetime, phase);
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

    BackendServer.Lifetime lifetime() {
        return lifetime;
    }

    Phase phase() {
        return phase;
    }

    void setPhase(Phase phase) {
        this.phase = phase;
    }

    boolean stopping() {
        return stopping;
    }

    void setStopping() {
        stopping = true;
    }

    long settledNanos() {
        return settledNanos;
    }

    void settle(long nowNanos) {
        settledNanos = nowNanos;
    }

    int percent() {
        return percent;
    }

    long load() {
        return load;
    }

    void observe(int percent, long load) {
        this.percent = percent;
        this.load = load;
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

    void setStartedNanos(long nanos) {
        startedNanos = nanos;
    }

    @Override
    public String toString() {
        return item.id() + "#" + number + "@" + lifetime.serverId();
    }
}

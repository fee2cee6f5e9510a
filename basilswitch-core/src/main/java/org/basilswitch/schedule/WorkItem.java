package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.StepSpec;

/** A work item with its current run, copies and results of earlier runs. */
final class WorkItem {
    private final ItemId id;
    private final ActiveJob job;
    private final StepSpec spec;
    private boolean done;
    private boolean begun;
    private int lastRun;
    private FailedRuns failedRuns = FailedRuns.none();
    private String checkpoint = "";
    private double durationMs;
    private int restarts;
    private Optional<Run> run = Optional.empty();
    private final List<Run> copies = new ArrayList<>();
    private Optional<PlaceWait> placeWait = Optional.empty();
    private final Set<String> failedOnServers = new HashSet<>();

    /**
     * A wait for a place near data or group.
     *
     * @param sinceNanos monotonic time of its start, ns
     * @param firstExpectedMs time to a free place as predicted then, ms
     * @param expectedMs time to a free place by the latest prediction, ms
     */
    record PlaceWait(long sinceNanos, double firstExpectedMs, double expectedMs) {
        double waitedMs(long nowNanos) {
            return (nowNanos - sinceNanos) / 1e6;
        }
    }

    WorkItem(ItemId id, ActiveJob job, StepSpec spec) {
        this.id = id;
        this.job = job;
        this.spec = spec;
    }

    ItemId id() {
        return id;
    }

    ActiveJob job() {
        return job;
    }

    StepSpec spec() {
        return spec;
    }

    boolean isDone() {
        return done;
    }

    /** Returns whether the item is neither done nor has a current run. */
    boolean isWaiting() {
        return !done && run.isEmpty();
    }

    int lastRun() {
        return lastRun;
    }

    int failures() {
        return failedRuns.count();
    }

    FailedRuns failedRuns() {
        return failedRuns;
    }

    String checkpoint() {
        return checkpoint;
    }

    Optional<Run> run() {
        return run;
    }

    /** Returns further runs that may be in progress beside the current one: copies and runs that are being stopped. */
    List<Run> copies() {
        return List.copyOf(copies);
    }

    /** Demotes the current run to a copy, so that another run can be started. */
    void demoteRunToCopy() {
        run.ifPresent(copies::add);
        run = Optional.empty();
        job.onItemChanged(false);
    }

    /** Removes a run from the copies; returns whether it was one. */
    boolean endCopy(Run ended) {
        return copies.remove(ended);
    }

    /** Returns the duration of the run that completed the work item, in ms; 0 while it is not done or unknown. */
    double durationMs() {
        return durationMs;
    }

    void setDurationMs(double ms) {
        durationMs = ms;
    }

    /** Returns how often the item has been restarted on another server. */
    int restarts() {
        return restarts;
    }

    void countRestart() {
        restarts++;
    }

    /** Returns the wait for a place near the item's data or group, if it waits for one. */
    Optional<PlaceWait> placeWait() {
        return placeWait;
    }

    void setPlaceWait(Optional<PlaceWait> wait) {
        placeWait = wait;
    }

    /** Returns the number of servers on which a run has failed. */
    int failedOnServers() {
        return failedOnServers.size();
    }

    boolean failedOn(String serverId) {
        return failedOnServers.contains(serverId);
    }

    Run beginRun(int number, BackendServer.Incarnation incarnation, Run.Phase phase) {
        Run begun = Run.create(this, number, incarnation, phase);
        job.onItemChanged(false);
        lastRun = Math.max(lastRun, number);
        run = Optional.of(begun);
        return begun;
    }

    /** Keeps the latest checkpoint; that of any member of a gang is valid for all, which have to resume from the same. */
    void saveCheckpoint(String value) {
        if (value.isEmpty()) {
            return;
        }
        if (spec.gang()) {
            job.stepOf(id).forEach(member -> member.checkpoint = value);
        } else {
            checkpoint = value;
        }
    }

    /** Ends the current run; a completed run makes the item done, unless it runs until its job is cancelled. */
    void endRun(boolean completed) {
        run = Optional.empty();
        boolean newlyDone = completed && !done && !spec.longRunning();
        job.onItemChanged(newlyDone);
        done |= newlyDone;
    }

    /** Counts a failed run, a copy or not, once, even if its end is reported again to a later leader. */
    void countFailure(int run, String serverId) {
        failedOnServers.add(serverId);
        failedRuns.add(run);
    }

    /** Records that a backend server has begun a run. */
    void markBegun() {
        if (!begun) {
            begun = true;
            job.onItemBegun();
        }
    }

    /** Returns whether the start of an earlier leader may have been carried out; its server has not reported yet. */
    boolean mayHaveBegun() {
        return run.filter(current -> current.phase() == Run.Phase.RECOVERED).isPresent();
    }

    /** Returns whether a run has been placed at least once. */
    boolean isStarted() {
        return lastRun > 0;
    }

    ProgressRecord.ItemRow progressRow() {
        return new ProgressRecord.ItemRow(
                id.occurrence(),
                id.step(),
                id.index(),
                done,
                lastRun,
                failedRuns.count(),
                failedRuns.last(),
                checkpoint,
                run.map(r -> r.incarnation().serverId()).orElse(null),
                run.map(r -> r.incarnation().startedAtMs()).orElse(0L),
                run.map(r -> r.hold().toMillis()).orElse(0L),
                begun,
                failedRuns.numbers());
    }

    void restore(ProgressRecord.ItemRow row) {
        // Earlier versions stored long-running items as done.
        boolean rowDone = row.done() && !spec.longRunning();
        job.onItemChanged(rowDone && !done);
        done = rowDone;
        if (row.begun() || row.done() || row.failures() > 0 || !row.checkpoint().isEmpty()) {
            markBegun();
        }
        lastRun = row.lastRun();
        failedRuns = FailedRuns.of(row);
        saveCheckpoint(row.checkpoint());
        if (!done && row.serverId() != null) {
            BackendServer.Incarnation incarnation = new BackendServer.Incarnation(row.serverId(), row.serverBornMs());
            beginRun(lastRun, incarnation, Run.Phase.RECOVERED).setHold(Duration.ofMillis(row.holdMs()));
        }
    }
}

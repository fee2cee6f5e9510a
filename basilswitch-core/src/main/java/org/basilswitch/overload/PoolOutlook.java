package org.basilswitch.overload;

import java.time.Duration;
import java.util.List;

/**
 * Room and waiting work of a pool.
 *
 * @param room room of the pool
 * @param onTime jobs that are expected to end on time
 * @param late jobs that come after them
 * @param deferred jobs above their team's rate, which come last
 * @param changeCoreMs processor time of the jobs accepted since the order was read, less what may have been started since,
 *     core-milliseconds
 * @param returningCoreMs processor time of jobs that were turned away and are expected back, core-milliseconds
 */
public record PoolOutlook(
        PoolRoom room,
        List<WaitingWork> onTime,
        List<WaitingWork> late,
        List<WaitingWork> deferred,
        double changeCoreMs,
        double returningCoreMs) {
    /** Fraction of a pool's cores that work items use on average; they do not fit exactly. */
    private static final double USABLE_FRACTION = 0.85;
    /** Time from the command to move a host until its backend server gets work, at the earliest. */
    private static final Duration HOST_ARRIVAL = Duration.ofMillis(2000);

    /** Makes defensive copies. Throws {@link IllegalArgumentException} when a field is missing. */
    public PoolOutlook {
        if (room == null || onTime == null || late == null || deferred == null) {
            throw new IllegalArgumentException("outlook of a pool without a required field");
        }
        onTime = List.copyOf(onTime);
        late = List.copyOf(late);
        deferred = List.copyOf(deferred);
    }

    /** Returns whether work items of a job can start now. */
    boolean hasRoomFor(JobDemand job) {
        return room.freeCores() >= room.cores() * (1 - USABLE_FRACTION) + job.widestItemCores();
    }

    /**
     * Returns the time after which a new job is expected to start if only the work known now comes before it, in ms; zero
     * for a pool without known servers.
     *
     * @param aboveRate whether the job is above its team's rate
     * @param since jobs that came since the outlook was asked for
     */
    double waitMs(JobDemand job, boolean aboveRate, AdmissionPolicy.Since since) {
        // The job displaces those that have more work per value if it could not be on time beside them.
        double onTimeWaitMs =
                drainMs(WaitingWork.before(onTime, job.workPerValue()) + changeCoreMs + since.takenCoreMs());
        if (!aboveRate && onTimeWaitMs <= job.slackMs()) {
            return onTimeWaitMs;
        }
        double before = WaitingWork.total(onTime)
                + changeCoreMs
                + returningCoreMs
                + since.takenCoreMs()
                + since.turnedAwayCoreMs();
        return drainMs(
                aboveRate
                        ? before + WaitingWork.total(late) + WaitingWork.before(deferred, job.workPerValue())
                        : before + WaitingWork.before(late, job.workPerValue()));
    }

    /** Returns the time in which all work known now is started, in ms. */
    public double drainMs() {
        return drainMs(
                WaitingWork.total(onTime) + WaitingWork.total(late) + WaitingWork.total(deferred) + returningCoreMs);
    }

    /**
     * Returns the outlook after some time.
     *
     * @param acceptedCoreMs processor time of the jobs accepted since, core-milliseconds
     * @param elapsedMs time since the order was read, ms
     */
    PoolOutlook after(double acceptedCoreMs, double elapsedMs) {
        double change = acceptedCoreMs - room.cores() * USABLE_FRACTION * elapsedMs;
        return new PoolOutlook(room, onTime, late, deferred, change, returningCoreMs);
    }

    private double drainMs(double coreMs) {
        double cores = room.cores() * USABLE_FRACTION;
        double arriving = room.arrivingCores() * USABLE_FRACTION;
        if (coreMs <= 0 || cores + arriving <= 0) {
            return 0;
        }
        double arrivalMs = HOST_ARRIVAL.toMillis();
        return coreMs <= cores * arrivalMs ? coreMs / cores : (coreMs + arriving * arrivalMs) / (cores + arriving);
    }
}

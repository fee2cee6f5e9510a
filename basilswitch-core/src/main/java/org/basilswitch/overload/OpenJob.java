package org.basilswitch.overload;

/**
 * A job that has not ended, as the leader orders it.
 *
 * @param place where it is in the order
 * @param workPerValue work per value of what is to be started, core-milliseconds
 * @param waitingCoreMs processor time that is to be started, core-milliseconds
 */
public record OpenJob(Place place, double workPerValue, double waitingCoreMs) {
    /** Parts of the order, first to last. */
    public enum Place {
        /** The job can still end on time. */
        ON_TIME,
        LATE,
        /** The job is above its team's rate. */
        ABOVE_RATE
    }
}

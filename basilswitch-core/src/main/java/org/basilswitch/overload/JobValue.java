package org.basilswitch.overload;

/** Value of completing a job on time, relative to the mean job of its queue. */
public final class JobValue {
    /** Fixed part of a job's value; the rest is proportional to its work, up to the maximum value. */
    private static final double FIXED_VALUE = 0.3;

    private static final double MAX_JOB_VALUE = 4;

    private JobValue() {}

    /**
     * Returns the value of a job.
     *
     * @param workCoreMs processor time of all work items, core-milliseconds
     * @param meanWorkCoreMs mean processor time of the queue's jobs, core-milliseconds
     */
    public static double of(double workCoreMs, double meanWorkCoreMs) {
        return Math.min(MAX_JOB_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * workCoreMs / Math.max(1, meanWorkCoreMs));
    }
}

package org.basilswitch.overload;

/** Duration of a step of a job, from its first start to the start of the next step. */
public final class StepDuration {
    /** Ratio of the duration of a step's slowest work item to the expected duration of one item. */
    private static final double SLOWEST_ITEM_FACTOR = 1.15;
    /** Time to store the ends of a step's runs and to start the next step, in ms. */
    private static final double STEP_OVERHEAD_MS = 60;

    private StepDuration() {}

    /** Returns the expected duration of a step in ms, from the expected duration of one of its work items in ms. */
    public static double ofItemMs(double itemMs) {
        return itemMs * SLOWEST_ITEM_FACTOR + STEP_OVERHEAD_MS;
    }
}

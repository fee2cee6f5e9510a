package org.basilswitch.overload;

/**
 * What has been learned about the jobs of a queue.
 *
 * @param durations durations of its work items
 * @param meanWorkCoreMs mean processor time of its jobs, core-milliseconds
 * @param favourableRatio ratio of the actual to the predicted time to a job's end that only a minority of its late jobs
 *     stayed below
 */
public record QueueOutlook(LearnedDurations durations, double meanWorkCoreMs, double favourableRatio) {
    /** Throws {@link IllegalArgumentException} when nothing can be predicted from the values. */
    public QueueOutlook {
        if (durations == null || !Double.isFinite(meanWorkCoreMs) || !(favourableRatio > 0)) {
            throw new IllegalArgumentException("outlook of a queue without a required field");
        }
    }
}

package org.basilswitch.overload;

/**
 * Durations of a queue's work items as learned from its past runs: the logarithm of the duration is a linear function of
 * the logarithm of the estimate.
 *
 * @param intercept expected logarithm of the duration in ms for an estimate of 1 ms
 * @param slope change of the logarithm of the duration per change of the logarithm of the estimate
 * @param typicalMs geometric mean of the durations of past runs, ms
 */
public record LearnedDurations(double intercept, double slope, double typicalMs) {
    /** Ratio to the typical duration up to which an estimate is believed. */
    private static final double MAX_RATIO = 4;

    /** Throws {@link IllegalArgumentException} when a value is not a finite number. */
    public LearnedDurations {
        boolean finite = Double.isFinite(intercept) && Double.isFinite(slope) && Double.isFinite(typicalMs);
        if (!finite || typicalMs <= 0) {
            throw new IllegalArgumentException("durations without a typical one");
        }
    }

    /** Returns the expected duration of a work item, which no low estimate makes much shorter than usual, in ms. */
    double expectedMs(long estimateMs) {
        return estimateMs <= 0
                ? typicalMs
                : Math.max(typicalMs / MAX_RATIO, Math.exp(intercept + slope * Math.log(estimateMs)));
    }

    /** Returns the duration with which a work item delays others, which no estimate makes much longer than usual, in ms. */
    public double boundedMs(long estimateMs) {
        return Math.min(typicalMs * MAX_RATIO, expectedMs(estimateMs));
    }
}

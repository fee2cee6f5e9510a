package org.basilswitch.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.overload.LearnedDurations;

/**
 * Predicts the duration of a work item from the submitted estimate and the past runs of the same queue.
 *
 * <p>Estimates may be off by a constant factor and by random error. The prediction is a least squares regression of the
 * logarithm of the actual duration on the logarithm of the estimate, with a prior (Galton's regression towards the
 * mean): where estimates carry little information it approaches the mean duration of the queue.
 */
public final class DurationModel {
    /** Number of pairs that the prior counts as. */
    private static final double PRIOR_PAIR_COUNT = 8;

    /** Slope of the prior, which trusts the estimates in part. */
    private static final double PRIOR_SLOPE = 0.6;
    /** Variance of the logarithm of the estimates in the prior. */
    private static final double PRIOR_VARIANCE = 0.3;
    /** Factor applied to the past sums at each new pair; about the last 200 pairs count. */
    private static final double DECAY_PER_PAIR = 0.995;

    private final Map<String, Sums> byQueue = new HashMap<>();

    /** Exponentially decayed sums over pairs of the logarithms of estimate and actual duration. */
    private static final class Sums {
        private double count;
        private double estimates;
        private double actuals;
        private double squares;
        private double products;

        private void add(double estimate, double actual) {
            count = count * DECAY_PER_PAIR + 1;
            estimates = estimates * DECAY_PER_PAIR + estimate;
            actuals = actuals * DECAY_PER_PAIR + actual;
            squares = squares * DECAY_PER_PAIR + estimate * estimate;
            products = products * DECAY_PER_PAIR + estimate * actual;
        }
    }

    /** Expected logarithm of the duration as a linear function of that of the estimate. */
    private record Line(double intercept, double slope) {}

    private DurationModel() {}

    /** Creates a model without samples, which returns the estimates. */
    public static DurationModel create() {
        return new DurationModel();
    }

    /** Adds the estimate and the actual duration of a completed run; values that are not positive are ignored. */
    public void add(String queue, long estimateMs, double actualMs) {
        if (estimateMs > 0 && actualMs > 0) {
            byQueue.computeIfAbsent(queue, name -> new Sums()).add(Math.log(estimateMs), Math.log(actualMs));
        }
    }

    /** Returns the expected duration of a run in ms, at least 1 if there is no sample. */
    public double expectedMs(String queue, long estimateMs) {
        Sums sums = byQueue.get(queue);
        if (sums == null || estimateMs <= 0) {
            return Math.max(1, estimateMs);
        }
        Line line = line(sums);
        return Math.exp(line.intercept + line.slope * Math.log(estimateMs));
    }

    /** Returns what the past runs of a queue say about its durations; empty before there are a few. */
    Optional<LearnedDurations> learned(String queue) {
        return Optional.ofNullable(byQueue.get(queue))
                .filter(sums -> sums.count >= PRIOR_PAIR_COUNT)
                .map(sums -> {
                    Line line = line(sums);
                    return new LearnedDurations(line.intercept, line.slope, Math.exp(sums.actuals / sums.count));
                });
    }

    private static Line line(Sums sums) {
        double meanEstimate = sums.estimates / sums.count;
        double meanActual = sums.actuals / sums.count;
        double variance = Math.max(0, sums.squares / sums.count - meanEstimate * meanEstimate);
        double covariance = sums.products / sums.count - meanEstimate * meanActual;
        double slope = (covariance * sums.count + PRIOR_SLOPE * PRIOR_VARIANCE * PRIOR_PAIR_COUNT)
                / (variance * sums.count + PRIOR_VARIANCE * PRIOR_PAIR_COUNT);
        slope = Math.max(0, Math.min(1, slope));
        double trust = sums.count / (sums.count + PRIOR_PAIR_COUNT);
        return new Line(trust * (meanActual - slope * meanEstimate), trust * slope + (1 - trust));
    }
}

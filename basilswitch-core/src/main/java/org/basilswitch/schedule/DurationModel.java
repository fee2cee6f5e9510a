package org.basilswitch.schedule;

import java.util.HashMap;
import java.util.Map;

/**
 * Expects how long a work item runs, from the caller's estimate and from how long runs of the same queue have taken.
 *
 * <p>Estimates may be off by a constant factor and by chance. The expected value is the least squares line through the
 * logarithms of the pairs seen (Galton's regression towards the mean): where estimates say little it is the queue's
 * usual duration.
 */
public final class DurationModel {
    /** Pairs that the first belief, a half trust in estimates, counts as. */
    private static final double PRIOR_PAIR_COUNT = 8;

    private static final double PRIOR_SLOPE = 0.6;
    /** Variance of the logarithm of an estimate that goes with the prior pairs. */
    private static final double PRIOR_VARIANCE = 0.3;
    /** Weight of the past at each new pair; about the last 200 pairs count. */
    private static final double DECAY_PER_PAIR = 0.995;

    private final Map<String, Sums> byQueue = new HashMap<>();

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

    private DurationModel() {}

    /** Creates a model that has seen nothing and trusts the estimates. */
    public static DurationModel create() {
        return new DurationModel();
    }

    /** Adds a run that ended well. */
    public void add(String queue, long estimateMs, double actualMs) {
        if (estimateMs > 0 && actualMs > 0) {
            byQueue.computeIfAbsent(queue, name -> new Sums()).add(Math.log(estimateMs), Math.log(actualMs));
        }
    }

    /** Expected duration of a run, ms. */
    public double expectedMs(String queue, long estimateMs) {
        Sums sums = byQueue.get(queue);
        if (sums == null || estimateMs <= 0) {
            return Math.max(1, estimateMs);
        }
        double meanEstimate = sums.estimates / sums.count;
        double meanActual = sums.actuals / sums.count;
        double variance = Math.max(0, sums.squares / sums.count - meanEstimate * meanEstimate);
        double covariance = sums.products / sums.count - meanEstimate * meanActual;
        double slope = (covariance * sums.count + PRIOR_SLOPE * PRIOR_VARIANCE * PRIOR_PAIR_COUNT)
                / (variance * sums.count + PRIOR_VARIANCE * PRIOR_PAIR_COUNT);
        double trust = sums.count / (sums.count + PRIOR_PAIR_COUNT);
        double learned = meanActual + Math.max(0, Math.min(1, slope)) * (Math.log(estimateMs) - meanEstimate);
        return Math.exp(trust * learned + (1 - trust) * Math.log(estimateMs));
    }
}

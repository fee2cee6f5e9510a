package org.basilswitch.overload;

import java.util.stream.DoubleStream;

/** Ratios of the actual to the predicted time to the end of the last jobs of a queue. */
final class PredictionAccuracy {
    private static final int SAMPLES = 64;
    /** Ratio that is assumed, and the number of samples that it counts as. */
    private static final double PRIOR_RATIO = 0.5;

    private static final int PRIOR_SAMPLES = 3;
    /** Fraction of the jobs that ended sooner than the favourable ratio says. */
    private static final double QUANTILE = 0.1;
    /** Bounds of the favourable ratio, so that a few unusual jobs do not decide. */
    private static final double MIN_RATIO = 0.25;

    private static final double MAX_RATIO = 4;

    private final double[] ratios = new double[SAMPLES];
    private int count;

    void add(double ratio) {
        ratios[count++ % SAMPLES] = ratio;
    }

    /**
     * Returns a low quantile of the ratios.
     *
     * @param open ratios of the time that open jobs have taken so far; they count where they exceed what is assumed
     */
    double favourableRatio(double... open) {
        DoubleStream ended = DoubleStream.of(ratios).limit(count);
        DoubleStream prior = DoubleStream.generate(() -> PRIOR_RATIO).limit(PRIOR_SAMPLES);
        DoubleStream late = DoubleStream.of(open).filter(ratio -> ratio > PRIOR_RATIO);
        double[] sorted = DoubleStream.concat(DoubleStream.concat(ended, prior), late)
                .sorted()
                .toArray();
        double quantile = sorted[(int) (QUANTILE * (sorted.length - 1))];
        return Math.max(MIN_RATIO, Math.min(MAX_RATIO, quantile));
    }
}

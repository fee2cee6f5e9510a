package org.basilswitch.admission;

import java.time.Duration;

/**
 * Observed service times of a pool's requests: an exponentially weighted mean, and a low and a high quantile tracked by
 * stochastic approximation (Robbins and Monro, 1951).
 */
public final class ServiceTimes {
    private static final double MEAN_SMOOTHING = 0.05;
    private static final double LOW_QUANTILE = 0.1;
    private static final double HIGH_QUANTILE = 0.95;
    private static final double QUANTILE_STEP = 0.05;
    private static final double MAX_NEEDED_RATIO = 0.5;
    private static final int MIN_SAMPLES = 20;

    private double meanNanos;
    private double lowNanos;
    private double highNanos;
    private int samples;

    /** Records the service time of an answered request. */
    public void record(long serviceNanos) {
        if (samples == 0) {
            meanNanos = serviceNanos;
            lowNanos = serviceNanos;
            highNanos = serviceNanos;
        }
        samples = Math.min(samples + 1, MIN_SAMPLES);
        meanNanos += MEAN_SMOOTHING * (serviceNanos - meanNanos);
        lowNanos = updateQuantile(lowNanos, serviceNanos, LOW_QUANTILE);
        highNanos = updateQuantile(highNanos, serviceNanos, HIGH_QUANTILE);
    }

    private static double updateQuantile(double estimateNanos, long serviceNanos, double quantile) {
        double step = QUANTILE_STEP * Math.max(estimateNanos, 1);
        return estimateNanos + (serviceNanos < estimateNanos ? -step * (1 - quantile) : step * quantile);
    }

    /** Returns the mean service time; zero until enough requests were answered. */
    public Duration mean() {
        return samples < MIN_SAMPLES ? Duration.ZERO : Duration.ofNanos((long) meanNanos);
    }

    /**
     * Returns the remaining time below which a request is not worth starting: the high quantile of the service times,
     * at most half of the request's total time, and at least the low quantile; zero until enough requests were
     * answered.
     *
     * @param total the request's time from arrival to deadline
     */
    public Duration minTimeToStart(Duration total) {
        if (samples < MIN_SAMPLES) {
            return Duration.ZERO;
        }
        double needed = Math.max(lowNanos, Math.min(highNanos, total.toNanos() * MAX_NEEDED_RATIO));
        return Duration.ofNanos((long) needed);
    }
}

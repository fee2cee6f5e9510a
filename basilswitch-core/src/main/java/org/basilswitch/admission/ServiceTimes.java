package org.basilswitch.admission;

import java.time.Duration;

/**
 * Observed service times of a queue: an exponentially weighted mean, and a low quantile below which few requests end,
 * tracked by stochastic approximation (Robbins and Monro, 1951).
 */
public final class ServiceTimes {
    private static final double MEAN_WEIGHT = 0.05;
    private static final double QUANTILE = 0.1;
    private static final double QUANTILE_STEP = 0.05;
    private static final int MIN_SAMPLES = 20;

    private double meanNanos;
    private double lowNanos;
    private int samples;

    /** Takes in the service time of a request that was answered. */
    public void record(long serviceNanos) {
        if (samples == 0) {
            meanNanos = serviceNanos;
            lowNanos = serviceNanos;
        }
        samples = Math.min(samples + 1, MIN_SAMPLES);
        meanNanos += MEAN_WEIGHT * (serviceNanos - meanNanos);
        double step = QUANTILE_STEP * Math.max(lowNanos, 1);
        lowNanos += serviceNanos < lowNanos ? -step * (1 - QUANTILE) : step * QUANTILE;
    }

    /** Mean service time; zero until enough requests were answered. */
    public Duration mean() {
        return samples < MIN_SAMPLES ? Duration.ZERO : Duration.ofNanos((long) meanNanos);
    }

    /** A time within which hardly any request ends; zero until enough requests were answered. */
    public Duration shortest() {
        return samples < MIN_SAMPLES ? Duration.ZERO : Duration.ofNanos((long) lowNanos);
    }
}

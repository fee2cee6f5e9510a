package org.basilswitch.fleet;

/**
 * Exponentially weighted moving average of a pool's demand, so that a burst of some seconds moves no host.
 *
 * <p>Rises and falls with the same time constant.
 */
final class DemandEstimate {
    private final double windowSeconds;
    private double smoothedDemand;
    private long lastSampleNanos;
    private boolean hasSample;

    DemandEstimate(java.time.Duration window) {
        this.windowSeconds = window.toNanos() / 1e9;
    }

    /** Adds a sample and returns the smoothed demand. */
    double add(double sample, long nowNanos) {
        if (!hasSample) {
            hasSample = true;
            smoothedDemand = sample;
        } else {
            double elapsedSeconds = (nowNanos - lastSampleNanos) / 1e9;
            smoothedDemand += (sample - smoothedDemand) * (1 - Math.exp(-elapsedSeconds / windowSeconds));
        }
        lastSampleNanos = nowNanos;
        return smoothedDemand;
    }
}

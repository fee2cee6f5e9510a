package org.basilswitch.fleet;

/**
 * Demand smoothed over a window, so that a burst of some seconds moves no host.
 *
 * <p>Exponentially weighted; rises and falls with the same time constant.
 */
final class DemandEstimate {
    private final double windowSeconds;
    private double value;
    private long lastNanos;
    private boolean started;

    DemandEstimate(java.time.Duration window) {
        this.windowSeconds = window.toNanos() / 1e9;
    }

    /** Takes a sample in and returns the smoothed demand. */
    double add(double sample, long nowNanos) {
        if (!started) {
            started = true;
            value = sample;
        } else {
            double elapsedSeconds = (nowNanos - lastNanos) / 1e9;
            value += (sample - value) * (1 - Math.exp(-elapsedSeconds / windowSeconds));
        }
        lastNanos = nowNanos;
        return value;
    }
}

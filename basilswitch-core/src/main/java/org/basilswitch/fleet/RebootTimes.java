package org.basilswitch.fleet;

/** Observed reboot times, smoothed, and the time after which a host counts as faulty. */
final class RebootTimes {
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    private final FleetOptions options;
    private double smoothedMs;

    RebootTimes(FleetOptions options) {
        this.options = options;
    }

    void add(long rebootMs) {
        smoothedMs = smoothedMs == 0 ? rebootMs : smoothedMs + NEW_SAMPLE_WEIGHT * (rebootMs - smoothedMs);
    }

    /** Time after which a rebooting host is faulty, in milliseconds. */
    long faultyAfterMs() {
        long longestMs = options.returnTimeout().toMillis();
        return smoothedMs == 0 ? longestMs : Math.min(longestMs, (long) (smoothedMs * options.faultyReturnRatio()));
    }
}

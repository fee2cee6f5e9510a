package org.basilswitch.fleet;

/** Moving average of the observed reboot times, from which the timeout of a reboot is derived. */
final class RebootTimes {
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    private final FleetOptions options;
    private double smoothedMs;

    RebootTimes(FleetOptions options) {
        this.options = options;
    }

    /** Adds a reboot's time; ignored unless positive, since its start may be from the wall clock of another host. */
    void add(long rebootMs) {
        if (rebootMs <= 0) {
            return;
        }
        smoothedMs = smoothedMs == 0 ? rebootMs : smoothedMs + NEW_SAMPLE_WEIGHT * (rebootMs - smoothedMs);
    }

    /** Returns the time after which a rebooting host is marked faulty, ms. */
    long faultyAfterMs() {
        long longestMs = options.returnTimeout().toMillis();
        return smoothedMs == 0 ? longestMs : Math.min(longestMs, (long) (smoothedMs * options.faultyReturnRatio()));
    }
}

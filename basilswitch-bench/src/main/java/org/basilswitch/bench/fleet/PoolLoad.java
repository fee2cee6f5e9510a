package org.basilswitch.bench.fleet;

import java.time.Duration;

/**
 * Demand of the brief's spec: each pool in turn asks five times its mean for some seconds and about a twentieth in
 * between, over a mean that follows the time of day, each pool at its own hours.
 */
final class PoolLoad {
    private static final double BURST_RATIO = 5;
    private static final double QUIET_RATIO = 0.05;
    private static final Duration BURST_TIME = Duration.ofSeconds(5);
    private static final Duration DAY = Duration.ofHours(24);

    private final int pools;
    private final double lowSlots;
    private final double highSlots;

    PoolLoad(int pools, double lowSlots, double highSlots) {
        this.pools = pools;
        this.lowSlots = lowSlots;
        this.highSlots = highSlots;
    }

    /** Mean demand of a pool at a time, in slots. */
    double meanSlots(int pool, Duration at) {
        double phase = (double) at.toSeconds() / DAY.toSeconds() - (double) pool / pools;
        double wave = (1 - Math.cos(2 * Math.PI * phase)) / 2;
        return lowSlots + (highSlots - lowSlots) * wave;
    }

    /** Demand of a pool at a time, in slots. */
    int slots(int pool, Duration at) {
        long turn = at.toNanos() / BURST_TIME.toNanos() % pools;
        // The weights are scaled so that the demand's mean over a whole round is the pool's mean.
        double roundMean = (BURST_RATIO + QUIET_RATIO * (pools - 1)) / pools;
        double ratio = (turn == pool ? BURST_RATIO : QUIET_RATIO) / roundMean;
        return (int) Math.round(meanSlots(pool, at) * ratio);
    }
}

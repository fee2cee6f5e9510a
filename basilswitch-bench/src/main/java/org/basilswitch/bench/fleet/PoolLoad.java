package org.basilswitch.bench.fleet;

import java.time.Duration;

/**
 * Bursty demand over a diurnal mean. Pools burst in turn: each demands five times its mean for 5 s and a twentieth of
 * it between its bursts, scaled so that the mean is kept. The daily maxima of the pools are evenly spread over the
 * day.
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

    /** Returns the mean demand of a pool at a time since the start, in slots. */
    double meanSlots(int pool, Duration at) {
        double phase = (double) at.toSeconds() / DAY.toSeconds() - (double) pool / pools;
        double wave = (1 - Math.cos(2 * Math.PI * phase)) / 2;
        return lowSlots + (highSlots - lowSlots) * wave;
    }

    /** Returns the demand of a pool at a time since the start, bursts included, in slots. */
    int slots(int pool, Duration at) {
        long turn = at.toNanos() / BURST_TIME.toNanos() % pools;
        // Scaled so that the mean demand over one burst of every pool is the pool's mean.
        double roundMean = (BURST_RATIO + QUIET_RATIO * (pools - 1)) / pools;
        double ratio = (turn == pool ? BURST_RATIO : QUIET_RATIO) / roundMean;
        return (int) Math.round(meanSlots(pool, at) * ratio);
    }
}

package org.basilswitch.fleet;

import java.time.Duration;

/** The policy by which hosts of the spare pool are lent to other pools. */
public sealed interface LendingPolicy {

    /** Lends hosts only to replace failed ones. */
    record Fixed() implements LendingPolicy {}

    /**
     * Lends and returns hosts by the current demand; the baseline for comparisons.
     *
     * @param highUtilisation utilisation of its slots above which a pool borrows
     * @param lowUtilisation utilisation of its slots below which a pool returns hosts
     */
    record Threshold(double highUtilisation, double lowUtilisation) implements LendingPolicy {}

    /**
     * Lends and returns hosts by the smoothed demand, with hysteresis: a surplus and a minimum time between moves.
     *
     * @param window time constant of the moving average
     * @param targetUtilisation ratio of a pool's slots that its smoothed demand should use
     * @param returnSurplusHosts hosts above its requirement from which a pool returns one
     * @param minMoveInterval minimum time between two moves for one pool
     */
    record Smoothed(Duration window, double targetUtilisation, int returnSurplusHosts, Duration minMoveInterval)
            implements LendingPolicy {}

    /** Returns the default policy. */
    static LendingPolicy defaultPolicy() {
        return new Smoothed(Duration.ofMinutes(5), 0.7, 2, Duration.ofSeconds(30));
    }
}

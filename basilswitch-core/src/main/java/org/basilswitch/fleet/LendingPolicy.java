package org.basilswitch.fleet;

import java.time.Duration;

/** How the spare pool's hosts follow the other pools' demand. */
public sealed interface LendingPolicy {

    /** Hosts stay where they are, but for those that replace failed ones. */
    record Fixed() implements LendingPolicy {}

    /**
     * Moves on the demand of the moment: the baseline.
     *
     * @param highUtilisation part of its slots over which a pool borrows
     * @param lowUtilisation part of its slots under which a pool gives back
     */
    record Threshold(double highUtilisation, double lowUtilisation) implements LendingPolicy {}

    /**
     * Moves on demand smoothed over a window, with a surplus and a hold time against moves to and fro.
     *
     * @param window time constant of the smoothing
     * @param targetUtilisation part of its slots that a pool's smoothed demand should fill
     * @param returnSurplusHosts hosts that a pool has beyond its need before it gives one back
     * @param minMoveInterval least time between two moves of one pool
     */
    record Smoothed(Duration window, double targetUtilisation, int returnSurplusHosts, Duration minMoveInterval)
            implements LendingPolicy {}

    /** The product's default. */
    static LendingPolicy defaultPolicy() {
        return new Smoothed(Duration.ofMinutes(5), 0.7, 2, Duration.ofSeconds(30));
    }
}

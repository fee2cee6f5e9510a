package org.basilswitch.bench.load;

import java.time.Duration;

/** How a stream's rate changes with time. */
public sealed interface RatePattern {
    double BURST_FACTOR = 5;
    double QUIET_FACTOR = 0.05;

    /** Always the mean. */
    record Steady() implements RatePattern {}

    /**
     * Each queue in turn asks five times its mean, and a twentieth in between.
     *
     * @param turn number of this queue, from 0
     * @param turns number of queues
     * @param burst length of a burst
     */
    record Alternating(int turn, int turns, Duration burst) implements RatePattern {}

    /** Factor on the mean rate at a time since the start. */
    default double factor(Duration elapsed) {
        return switch (this) {
            case Steady steady -> 1;
            case Alternating turns -> {
                long current = elapsed.toMillis() / turns.burst().toMillis() % turns.turns();
                yield current == turns.turn() ? BURST_FACTOR : QUIET_FACTOR;
            }
        };
    }
}

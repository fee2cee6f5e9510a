package org.basilswitch.bench.load;

import java.time.Duration;

/** Variation of a stream's rate over time. */
public sealed interface RatePattern {
    double BURST_FACTOR = 5;
    double QUIET_FACTOR = 0.05;

    /** Constant at the mean rate. */
    record Steady() implements RatePattern {}

    /**
     * Queues burst in turn: each has five times its mean rate during its turn and a twentieth of it otherwise.
     *
     * @param turn index of this queue, from 0
     * @param turns number of queues
     * @param burst duration of a burst
     */
    record Alternating(int turn, int turns, Duration burst) implements RatePattern {}

    /** Returns the factor by which the mean rate is multiplied at a time since the start. */
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

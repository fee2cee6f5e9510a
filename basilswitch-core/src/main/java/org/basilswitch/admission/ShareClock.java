package org.basilswitch.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.basilswitch.time.Clock;

/**
 * Weighted virtual times of the teams of one pool: slot time used across the fleet, divided by the team's weight.
 *
 * <p>A team without waiting requests is lifted to the least virtual time of those that wait, as in start-time fair
 * queueing (Goyal, Vin and Cheng, 1996): what a team leaves unused is lent for good and builds up no claim.
 */
final class ShareClock {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final PoolUsage fleet;
    private final ToDoubleFunction<String> weightOf;
    private final Map<String, Double> times = new HashMap<>();
    private long advancedNanos;

    ShareClock(Clock clock, PoolUsage fleet, ToDoubleFunction<String> weightOf) {
        this.clock = clock;
        this.fleet = fleet;
        this.weightOf = weightOf;
        this.advancedNanos = clock.monotonicNanos();
    }

    /** Charges the slot time used since the last call, before counts change. */
    void advance(Predicate<String> blocked) {
        long now = clock.monotonicNanos();
        double elapsed = (now - advancedNanos) / NANOS_PER_SECOND;
        if (elapsed <= 0) {
            return;
        }
        advancedNanos = now;
        double least = Double.POSITIVE_INFINITY;
        for (String team : fleet.teams()) {
            double time = times.getOrDefault(team, 0.0) + elapsed * fleet.running(team) / weightOf.applyAsDouble(team);
            times.put(team, time);
            if (fleet.waiting(team) > 0 && !blocked.test(team)) {
                least = Math.min(least, time);
            }
        }
        if (least < Double.POSITIVE_INFINITY) {
            lift(least, blocked);
        }
    }

    private void lift(double least, Predicate<String> blocked) {
        for (String team : fleet.teams()) {
            if (fleet.waiting(team) == 0 || blocked.test(team)) {
                times.merge(team, least, Math::max);
            }
        }
    }

    /** Virtual time of a team, with the work that it has running counted to its expected end. */
    double of(String team, double meanServiceSeconds) {
        double committed = fleet.running(team) * meanServiceSeconds / weightOf.applyAsDouble(team);
        return times.getOrDefault(team, 0.0) + committed;
    }
}

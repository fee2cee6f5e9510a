package org.basilswitch.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.basilswitch.time.Clock;

/**
 * Weighted virtual times of the teams of one pool: slot time used across the fleet, divided by the team's weight.
 *
 * <p>A team without waiting requests is raised to the lowest virtual time of the waiting teams, less a tolerance, as in
 * start-time fair queueing (Goyal, Vin and Cheng, 1996). Capacity that a team leaves unused therefore earns it no later
 * priority.
 */
final class TeamVirtualTimes {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double REPORT_LAG_SECONDS = 1;
    private static final double TOLERANCE_SECONDS = 0.5;

    private final Clock clock;
    private final PoolUsage fleet;
    private final PoolUsage own;
    private final IntSupplier entryHosts;
    private final ToDoubleFunction<String> weightOf;
    private final Map<String, Double> times = new HashMap<>();
    private final Map<String, Long> chargedNanos = new HashMap<>();
    private final Map<String, Long> ownChargedNanos = new HashMap<>();
    private final Map<String, Double> recentOwnSeconds = new HashMap<>();
    private long advancedNanos;
    private double minWaitingTime;

    TeamVirtualTimes(
            Clock clock, PoolUsage fleet, PoolUsage own, IntSupplier entryHosts, ToDoubleFunction<String> weightOf) {
        this.clock = clock;
        this.fleet = fleet;
        this.own = own;
        this.entryHosts = entryHosts;
        this.weightOf = weightOf;
        this.advancedNanos = clock.monotonicNanos();
    }

    /** Charges the slot time used since the last call; called before counts change. */
    void advance(Predicate<String> blocked) {
        long now = clock.monotonicNanos();
        if (now <= advancedNanos) {
            return;
        }
        double decay = Math.exp(-(now - advancedNanos) / NANOS_PER_SECOND / REPORT_LAG_SECONDS);
        advancedNanos = now;
        double minTime = Double.POSITIVE_INFINITY;
        for (String team : fleet.teams()) {
            double time = charge(team, now);
            chargeOwn(team, now, decay);
            if (fleet.waiting(team) > 0 && !blocked.test(team)) {
                minTime = Math.min(minTime, time);
            }
        }
        if (minTime < Double.POSITIVE_INFINITY) {
            raiseIdleTeams(minTime - tolerance(), blocked);
        }
        minWaitingTime = minTime;
    }

    /**
     * Returns whether a team's virtual time is within the tolerance of the lowest among all teams waiting in the fleet.
     */
    boolean isUnderserved(String team) {
        return times.getOrDefault(team, 0.0) <= minWaitingTime + tolerance();
    }

    private double tolerance() {
        double weights = 0;
        for (String team : fleet.teams()) {
            weights += fleet.demand(team) > 0 ? weightOf.applyAsDouble(team) : 0;
        }
        return weights == 0 ? 0 : TOLERANCE_SECONDS * fleet.running() / weights;
    }

    private double charge(String team, long nowNanos) {
        long used = fleet.usedNanos(team, nowNanos);
        Long before = chargedNanos.put(team, used);
        double seconds = (used - (before == null ? 0 : before)) / NANOS_PER_SECOND;
        return times.merge(team, seconds / weightOf.applyAsDouble(team), Double::sum);
    }

    private void chargeOwn(String team, long nowNanos, double decay) {
        long used = own.usedNanos(team, nowNanos);
        Long before = ownChargedNanos.put(team, used);
        double seconds = (used - (before == null ? 0 : before)) / NANOS_PER_SECOND;
        recentOwnSeconds.put(team, recentOwnSeconds.getOrDefault(team, 0.0) * decay + seconds);
    }

    private void raiseIdleTeams(double minTime, Predicate<String> blocked) {
        for (String team : fleet.teams()) {
            if (fleet.waiting(team) == 0 || blocked.test(team)) {
                times.merge(team, minTime, Math::max);
            }
        }
    }

    /**
     * Returns the virtual time of a team, including estimated usage that reports do not show yet.
     *
     * <p>This host's recent usage and running requests stand for those of its peers too, which act on the same reports.
     * Without this estimate all hosts would favour the same team at once.
     */
    double virtualTime(String team, double meanServiceSeconds) {
        int hosts = entryHosts.getAsInt();
        double unreported = (hosts - 1) * recentOwnSeconds.getOrDefault(team, 0.0);
        double committed = hosts * own.running(team) * meanServiceSeconds;
        return times.getOrDefault(team, 0.0) + (unreported + committed) / weightOf.applyAsDouble(team);
    }
}

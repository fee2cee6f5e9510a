package org.basilswitch.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.basilswitch.configuration.Host;
import org.basilswitch.membership.Member;
import org.basilswitch.placement.SlotCaps;
import org.basilswitch.time.Clock;

/** The teams' shares of one pool at this entry host: virtual times, slots and expected waits. */
public final class PoolShares {
    private static final Duration DIVISION_INTERVAL = Duration.ofMillis(10);
    private static final double MAX_WAIT_FACTOR = 2;
    private static final double EXPIRED_WAIT_FACTOR = 1.05;
    private static final double STARTED_WAIT_FACTOR = 0.998;
    private static final double NANOS_PER_SECOND = 1e9;

    private final String pool;
    private final Clock clock;
    private final FleetUsage usage;
    private final TeamVirtualTimes virtualTimes;
    private final SlotDivision division;
    private final Supplier<List<Member>> members;
    private final Set<String> teamsAtLimit = new HashSet<>();
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private SlotDivision.SlotShare slotShare = new SlotDivision.SlotShare(SlotCaps.none(), Map.of(), 1);
    private final Map<String, Double> waitFactors = new HashMap<>();
    private long dividedNanos = Long.MIN_VALUE;

    private PoolShares(
            String pool,
            Member self,
            Supplier<List<Member>> members,
            Clock clock,
            FleetUsage usage,
            ToDoubleFunction<String> weightOf) {
        this.pool = pool;
        this.clock = clock;
        this.usage = usage;
        this.members = members;
        this.virtualTimes = new TeamVirtualTimes(
                clock, usage.fleet(pool), usage.own(pool), () -> members.get().size(), weightOf);
        this.division = SlotDivision.create(self, clock, usage, weightOf);
    }

    /** Creates the shares of a pool. */
    public static PoolShares create(
            String pool,
            Member self,
            Supplier<List<Member>> members,
            Clock clock,
            FleetUsage usage,
            ToDoubleFunction<String> weightOf) {
        return new PoolShares(pool, self, members, clock, usage, weightOf);
    }

    /** Updates virtual times and the division of slots; called before waiting requests are started. */
    public void advance(List<Host> servers) {
        virtualTimes.advance(teamsAtLimit::contains);
        teamsAtLimit.clear();
        long now = clock.monotonicNanos();
        if (dividedNanos == Long.MIN_VALUE || now - dividedNanos >= DIVISION_INTERVAL.toNanos()) {
            usage.expire();
            slotShare = division.compute(pool, servers, members.get());
            dividedNanos = now;
        }
    }

    /** Records that a team has no free unit of its upper limit. */
    public void markAtLimit(String team) {
        teamsAtLimit.add(team);
    }

    /** Returns whether a team has had no free unit of its upper limit since the last {@link #advance}. */
    public boolean isAtLimit(String team) {
        return teamsAtLimit.contains(team);
    }

    /** Returns the weighted virtual time of a team. */
    public double virtualTime(String team) {
        return virtualTimes.virtualTime(team, serviceTimes.mean().toNanos() / NANOS_PER_SECOND);
    }

    /** Returns this host's slots, and whether an underserved team is waiting at this host. */
    public SlotCaps caps() {
        PoolUsage own = usage.own(pool);
        for (String team : own.teams()) {
            if (own.waiting(team) > 0 && virtualTimes.isUnderserved(team)) {
                return slotShare.caps().withUnderservedTeamWaiting(true);
            }
        }
        return slotShare.caps().withUnderservedTeamWaiting(false);
    }

    /** Returns the number of this host's slots. */
    public int slots() {
        return slotShare.slots();
    }

    /** Adds to a team's waiting requests at this host. */
    public void addWaiting(String team, int change) {
        virtualTimes.advance(teamsAtLimit::contains);
        usage.addToOwn(pool, team, 0, change);
    }

    /** Adds to a team's running requests from this host. */
    public void addRunning(String team, int change) {
        virtualTimes.advance(teamsAtLimit::contains);
        usage.addToOwn(pool, team, change, 0);
    }

    /** Returns the number of requests running from this host. */
    public int running() {
        return usage.own(pool).running();
    }

    /** Returns the observed service times. */
    public ServiceTimes serviceTimes() {
        return serviceTimes;
    }

    /**
     * Raises a team's expected waits after one of its requests expired while waiting, which shows that they were too
     * short.
     */
    public void recordExpiredWait(String team) {
        waitFactors.put(team, Math.min(MAX_WAIT_FACTOR, waitFactor(team) * EXPIRED_WAIT_FACTOR));
    }

    /** Lowers a team's expected waits after one of its requests has started. */
    public void recordStartAfterWait(String team) {
        waitFactors.put(team, Math.max(1, waitFactor(team) * STARTED_WAIT_FACTOR));
    }

    private double waitFactor(String team) {
        return waitFactors.getOrDefault(team, 1.0);
    }

    /** Returns the expected wait of a team's request behind a number of others of its team. */
    public Duration expectedWait(String team, int ahead) {
        double slots = Math.max(0.5, slotShare.slotsFor(team));
        double excess = ahead + 1 + usage.own(pool).running(team) - slots;
        if (excess <= 0) {
            return Duration.ZERO;
        }
        return Duration.ofNanos(
                (long) (waitFactor(team) * excess / slots * serviceTimes.mean().toNanos()));
    }
}

package org.basilswitch.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.basilswitch.configuration.Host;
import org.basilswitch.membership.Member;
import org.basilswitch.placement.SlotCaps;
import org.basilswitch.time.Clock;

/**
 * Divides a pool's slots among the entry hosts, so that the parts add up to the pool's slots.
 *
 * <p>Teams get weighted max-min shares of the slots by the fleet's demand, and each team's share is divided among the
 * entry hosts by the demand that arrived through them. Unused slots are divided evenly. Slots and entry hosts are
 * ordered along one line by availability zone, which each entry host computes identically from the same reports. The
 * boundaries are rounded by systematic sampling with an offset that changes over time, so that a share below one slot
 * gets a slot for part of the time.
 */
public final class SlotDivision {
    private static final long ROTATION_INTERVAL_MS = 1_000;
    private static final double GOLDEN_RATIO_CONJUGATE = 0.6180339887498949;
    private static final double SPARE_CAPACITY_RATIO = 1;
    private static final double ROUNDING_ERROR = 1e-6;

    private final Member self;
    private final Clock clock;
    private final FleetUsage usage;
    private final ToDoubleFunction<String> weightOf;

    private SlotDivision(Member self, Clock clock, FleetUsage usage, ToDoubleFunction<String> weightOf) {
        this.self = self;
        this.clock = clock;
        this.usage = usage;
        this.weightOf = weightOf;
    }

    /** Creates the division as computed by this entry host. */
    public static SlotDivision create(Member self, Clock clock, FleetUsage usage, ToDoubleFunction<String> weightOf) {
        return new SlotDivision(self, clock, usage, weightOf);
    }

    /** Computes this entry host's slots and its teams' shares of them. */
    public SlotShare compute(String pool, List<Host> servers, List<Member> members) {
        int capacity = servers.stream().mapToInt(Host::slots).sum();
        PoolUsage fleet = usage.fleet(pool);
        Map<String, Double> teamShares = teamShares(fleet, capacity);
        double spare = capacity
                - teamShares.values().stream().mapToDouble(Double::doubleValue).sum();
        List<Member> hosts = orderedMembers(members);
        double offset = (clock.millis() / ROTATION_INTERVAL_MS * GOLDEN_RATIO_CONJUGATE) % 1;
        double start = 0;
        double ownShare = 0;
        for (Member host : hosts) {
            ownShare = Math.max(0, spare) / hosts.size() + shareByDemand(host, pool, fleet, teamShares);
            if (host.id().equals(self.id())) {
                break;
            }
            start += ownShare;
        }
        int from = (int) Math.floor(start + offset + ROUNDING_ERROR);
        int to = (int) Math.floor(start + ownShare + offset + ROUNDING_ERROR);
        boolean spareCapacity = fleet.demand() < SPARE_CAPACITY_RATIO * capacity;
        return new SlotShare(
                new SlotCaps(slotsInRange(servers, from, to), spareCapacity, true),
                ownTeamShares(pool, fleet, teamShares, spare),
                Math.max(1, ownShare / (teamShares.size() + 1)));
    }

    private List<Member> orderedMembers(List<Member> members) {
        List<Member> hosts = new ArrayList<>(members);
        if (hosts.stream().noneMatch(host -> host.id().equals(self.id()))) {
            hosts.add(self);
        }
        hosts.sort(Comparator.comparing(Member::zone).thenComparing(Member::id));
        return hosts;
    }

    private Map<String, Double> teamShares(PoolUsage fleet, int capacity) {
        Map<String, MaxMinFairness.WeightedDemand> demands = new HashMap<>();
        for (String team : fleet.teams()) {
            if (fleet.demand(team) > 0) {
                demands.put(team, new MaxMinFairness.WeightedDemand(fleet.demand(team), weightOf.applyAsDouble(team)));
            }
        }
        return MaxMinFairness.allocate(capacity, demands);
    }

    private double shareByDemand(Member host, String pool, PoolUsage fleet, Map<String, Double> teamShares) {
        PoolUsage memberUsage = host.id().equals(self.id()) ? usage.own(pool) : usage.reportedBy(host.id(), pool);
        double share = 0;
        for (Map.Entry<String, Double> team : teamShares.entrySet()) {
            share += team.getValue() * memberUsage.demand(team.getKey()) / fleet.demand(team.getKey());
        }
        return share;
    }

    private Map<String, Double> ownTeamShares(
            String pool, PoolUsage fleet, Map<String, Double> teamShares, double spare) {
        Map<String, Double> shares = new HashMap<>();
        PoolUsage own = usage.own(pool);
        teamShares.forEach((team, share) -> shares.put(team, spare + share * own.demand(team) / fleet.demand(team)));
        return shares;
    }

    private static Map<String, Integer> slotsInRange(List<Host> servers, int from, int to) {
        List<Host> ordered = new ArrayList<>(servers);
        ordered.sort(Comparator.comparing(Host::zone).thenComparing(Host::name));
        Map<String, Integer> slots = new HashMap<>();
        int start = 0;
        for (Host server : ordered) {
            int end = start + server.slots();
            int count = overlap(start, end, from, to);
            if (count > 0) {
                slots.put(server.name(), count);
            }
            start = end;
        }
        return slots;
    }

    private static int overlap(int start, int end, int from, int to) {
        return Math.max(0, Math.min(end, to) - Math.max(start, from));
    }

    /**
     * This entry host's share of a pool.
     *
     * @param caps slots by server
     * @param slotsByTeam slots that each team's requests at this host can expect, including unused ones
     * @param slotsForOtherTeams slots that a team without requests at this host can expect
     */
    public record SlotShare(SlotCaps caps, Map<String, Double> slotsByTeam, double slotsForOtherTeams) {

        /** Returns the slots that a team's requests at this host can expect. */
        public double slotsFor(String team) {
            return slotsByTeam.getOrDefault(team, slotsForOtherTeams);
        }

        /** Returns the number of slots of all teams. */
        public int slots() {
            return caps.slotsByServer().values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
        }
    }
}

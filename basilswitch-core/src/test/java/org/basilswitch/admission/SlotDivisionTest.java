package org.basilswitch.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.TeamUsage;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests max-min shares, usage reports and the division of a pool's slots. */
public final class SlotDivisionTest {
    private static final String POOL = "pool";

    /** Unused shares go to teams with more demand, by weight. */
    @Test
    public void unusedSharesAreReassignedByWeight() {
        Map<String, Double> shares = MaxMinFairness.allocate(
                60,
                Map.of(
                        "small", new MaxMinFairness.WeightedDemand(5, 1),
                        "large", new MaxMinFairness.WeightedDemand(100, 2),
                        "other", new MaxMinFairness.WeightedDemand(100, 1)));
        assertEquals(shares.get("small"), 5, 1e-9);
        assertEquals(shares.get("large"), 55.0 * 2 / 3, 1e-9);
        assertEquals(shares.get("other"), 55.0 / 3, 1e-9);
    }

    /** For random demands, shares exceed neither demand nor capacity, and no capacity is left while demand is unmet. */
    @Test
    public void allocationMeetsDemandUpToCapacity() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        for (int run = 0; run < 500; run++) {
            Map<String, MaxMinFairness.WeightedDemand> demands = new HashMap<>();
            double totalDemand = 0;
            for (int i = 0; i < 1 + random.nextInt(8); i++) {
                MaxMinFairness.WeightedDemand demand =
                        new MaxMinFairness.WeightedDemand(random.nextInt(50), 1 + random.nextInt(5));
                demands.put("t" + i, demand);
                totalDemand += demand.demand();
            }
            double sum = 0;
            for (Map.Entry<String, Double> share :
                    MaxMinFairness.allocate(64, demands).entrySet()) {
                assertTrue(share.getValue() <= demands.get(share.getKey()).demand() + 1e-9);
                sum += share.getValue();
            }
            assertEquals(sum, Math.min(64, totalDemand), 1e-6);
        }
    }

    /** Entry hosts with the same reports assign each slot to exactly one of them, at any time and demand. */
    @Test
    public void eachSlotIsGivenToOneEntryHost() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
        List<Member> members = members(7);
        List<Host> servers = servers();
        for (int run = 0; run < 100; run++) {
            SimulatedTime time = SimulatedTime.create();
            time.runFor(Duration.ofMillis(random.nextInt(100_000)));
            Map<Member, List<TeamUsage>> reports = new HashMap<>();
            members.forEach(member -> reports.put(member, usages(random)));
            Map<String, Integer> given = new HashMap<>();
            for (Member self : members) {
                SlotDivision division = SlotDivision.create(self, time, view(self, reports, time), team -> 1);
                division.compute(POOL, servers, members)
                        .caps()
                        .slotsByServer()
                        .forEach((server, slots) -> given.merge(server, slots, Integer::sum));
            }
            servers.forEach(server -> assertEquals(given.get(server.name()), server.slots(), server.name()));
        }
    }

    private static List<TeamUsage> usages(UniformRandomProvider random) {
        List<TeamUsage> usages = new ArrayList<>();
        for (int team = 0; team < 4; team++) {
            usages.add(new TeamUsage(POOL, "t" + team, random.nextInt(4), random.nextInt(10), 0));
        }
        return usages;
    }

    private static FleetUsage view(Member self, Map<Member, List<TeamUsage>> reports, SimulatedTime time) {
        FleetUsage usage = FleetUsage.create(time);
        reports.forEach((member, usages) -> {
            if (!member.equals(self)) {
                usage.record(member.id(), usages);
            }
        });
        reports.get(self).forEach(own -> usage.addToOwn(POOL, own.team(), own.running(), own.waiting()));
        return usage;
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new Member(new MemberId("m" + i), "m" + i, "127.0.0.1:1", "z" + i % 4));
        }
        return members;
    }

    private static List<Host> servers() {
        List<Host> servers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            servers.add(new Host(
                    "s" + i, "127.0.0.1:9000", "z" + i % 4, "r", POOL, HostState.ACTIVE, 8, 64, 8, 1L << 30, 0));
        }
        return servers;
    }

    /** Reports converge after loss, stay within their byte budget, and are dropped with a silent or removed peer. */
    @Test
    public void reportsConvergeAfterLossAndExpire() {
        SimulatedTime time = SimulatedTime.create();
        FleetUsage from = FleetUsage.create(time, 400);
        FleetUsage to = FleetUsage.create(time);
        MemberId sender = new MemberId("a");
        MemberId receiver = new MemberId("b");
        from.addToOwn(POOL, "t", 3, 2);
        from.changesFor(receiver);
        for (int i = 0; i < 40; i++) {
            time.runFor(Duration.ofMillis(250));
            to.record(sender, from.changesFor(receiver));
        }
        assertEquals(to.fleet(POOL).running("t"), 3);
        assertEquals(to.fleet(POOL).waiting("t"), 2);
        assertTrue(from.sentBytes() <= 400 * 10 + 512, "bytes " + from.sentBytes());
        time.runFor(Duration.ofSeconds(6));
        to.expire();
        assertEquals(to.fleet(POOL).demand(), 0);
        to.record(sender, List.of(new TeamUsage(POOL, "t", 1, 0, 0)));
        to.removeMember(sender);
        assertEquals(to.fleet(POOL).demand(), 0);
    }

    /** Cumulative slot time accounts for changes between reports. */
    @Test
    public void reportedSlotTimeIncludesUnreportedChanges() {
        SimulatedTime time = SimulatedTime.create();
        FleetUsage from = FleetUsage.create(time);
        FleetUsage to = FleetUsage.create(time);
        MemberId sender = new MemberId("a");
        from.addToOwn(POOL, "t", 0, 1);
        to.record(sender, from.changesFor(new MemberId("b")));
        from.addToOwn(POOL, "t", 4, 0);
        time.runFor(Duration.ofSeconds(1));
        from.addToOwn(POOL, "t", -4, 0);
        time.runFor(Duration.ofSeconds(1));
        from.addToOwn(POOL, "t", 1, 0);
        to.record(sender, from.changesFor(new MemberId("b")));
        assertEquals(to.fleet(POOL).usedNanos("t", time.monotonicNanos()), 4_000_000_000L);
    }
}

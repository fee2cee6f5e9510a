package org.basilswitch.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.event.Telemetry;
import org.basilswitch.placement.PoolServers.Result;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the selection, ejection and probing of servers, and the slot caps. */
public final class PoolServersTest {
    private static final Duration SERVICE = Duration.ofMillis(100);

    private final SimulatedTime time = SimulatedTime.create();

    private PoolServers pool(PlacementPolicy placementPolicy, List<Host> hosts, LiveHosts liveHosts) {
        PoolServers servers = PoolServers.create(
                "pool",
                "z0",
                placementPolicy,
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(5),
                liveHosts,
                Telemetry.none());
        servers.update(hosts);
        return servers;
    }

    private static List<Host> hosts(int count, int slots) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(new Host(
                    "s" + i, "127.0.0.1:1", "z" + i % 4, "r", "pool", HostState.ACTIVE, slots, 64, 8, 1L << 30, 0));
        }
        return hosts;
    }

    private Optional<Host> send(PoolServers servers, Object token) {
        Optional<Host> host = servers.choose(Set.of(), SlotCaps.none());
        host.ifPresent(chosen -> servers.recordStart(chosen, token));
        return host;
    }

    /**
     * Runs requests one after another, of which the faulty servers fail each at once; returns the number of requests by
     * server.
     */
    private Map<String, Integer> runRequests(PoolServers servers, Set<String> faulty, Duration duration) {
        Map<String, Integer> counts = new HashMap<>();
        long end = time.monotonicNanos() + duration.toNanos();
        while (time.monotonicNanos() < end) {
            Object token = new Object();
            Optional<Host> host = send(servers, token);
            time.runFor(Duration.ofMillis(10));
            host.ifPresent(chosen -> {
                counts.merge(chosen.name(), 1, Integer::sum);
                boolean failing = faulty.contains(chosen.name());
                servers.recordEnd(chosen, token, failing ? Result.FAILURE : Result.SUCCESS);
            });
        }
        return counts;
    }

    /** All placement policies. */
    @DataProvider
    public Object[][] placements() {
        return new Object[][] {
            {new PlacementPolicy.UniformRandom()},
            {new PlacementPolicy.RoundRobin()},
            {new PlacementPolicy.LeastInFlight()},
            {new PlacementPolicy.LocalProbing(2)},
            {new PlacementPolicy.DividedSlots(2)},
        };
    }

    /** No placement policy exceeds a server's slots. */
    @Test(dataProvider = "placements")
    public void slotsAreNeverExceeded(PlacementPolicy placementPolicy) {
        PoolServers servers = pool(placementPolicy, hosts(4, 2), LiveHosts.unknown());
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            send(servers, i).ifPresent(host -> counts.merge(host.name(), 1, Integer::sum));
        }
        assertEquals(counts, Map.of("s0", 2, "s1", 2, "s2", 2, "s3", 2));
    }

    /** A server that fails quickly looks idle, yet is ejected and only probed; it returns after it is healthy again. */
    @Test(dataProvider = "placements")
    public void failingServerIsEjectedAndReturnsAfterProbes(PlacementPolicy placementPolicy) {
        PoolServers servers = pool(placementPolicy, hosts(4, 4), LiveHosts.unknown());
        runRequests(servers, Set.of(), Duration.ofSeconds(1));
        runRequests(servers, Set.of("s0"), Duration.ofSeconds(2));
        int probes = runRequests(servers, Set.of("s0"), Duration.ofSeconds(10)).getOrDefault("s0", 0);
        assertTrue(probes >= 1 && probes <= 10, "probes " + probes);
        runRequests(servers, Set.of(), Duration.ofSeconds(40));
        int requestsAfterReturn =
                runRequests(servers, Set.of(), Duration.ofSeconds(4)).getOrDefault("s0", 0);
        assertTrue(requestsAfterReturn >= 40, "requests after return " + requestsAfterReturn);
    }

    /** At most half of the servers are ejected, however many fail. */
    @Test
    public void atMostHalfOfServersAreEjected() {
        PoolServers servers = pool(PlacementPolicy.defaultPolicy(), hosts(4, 4), LiveHosts.unknown());
        Set<String> all = Set.of("s0", "s1", "s2", "s3");
        runRequests(servers, all, Duration.ofSeconds(5));
        for (int i = 0; i < 100; i++) {
            assertTrue(send(servers, new Object()).isPresent() || i >= 8, "request " + i);
        }
    }

    /** A server that stops answering is ejected long before its requests time out. */
    @Test
    public void unresponsiveServerIsEjectedBeforeTimeouts() {
        PoolServers servers = pool(new PlacementPolicy.LeastInFlight(), hosts(4, 8), LiveHosts.unknown());
        runRequests(servers, Set.of(), Duration.ofSeconds(1));
        Map<Object, Host> answered = new HashMap<>();
        int lateToUnresponsive = 0;
        for (int step = 0; step < 400; step++) {
            Object token = step;
            Optional<Host> host = send(servers, token);
            if (host.isPresent() && host.get().name().equals("s0")) {
                lateToUnresponsive += step > 200 ? 1 : 0;
            } else {
                host.ifPresent(chosen -> answered.put(token, chosen));
            }
            time.runFor(Duration.ofMillis(10));
            Host chosen = answered.remove((Object) (step - 10));
            if (chosen != null) {
                servers.recordEnd(chosen, step - 10, Result.SUCCESS);
            }
        }
        assertEquals(lateToUnresponsive, 0);
    }

    /** Servers gone from the list are used only when all are gone; leaving ones are never used. */
    @Test
    public void leavingAndGoneServersAreNotEligible() {
        Map<String, LiveHosts.Presence> list = new HashMap<>();
        PoolServers servers = pool(
                PlacementPolicy.defaultPolicy(), hosts(2, 4), host -> list.getOrDefault(host, LiveHosts.Presence.LIVE));
        list.put("s0", LiveHosts.Presence.GONE);
        assertEquals(servers.eligibleHosts().size(), 1);
        list.put("s1", LiveHosts.Presence.GONE);
        assertEquals(servers.eligibleHosts().size(), 2);
        list.put("s1", LiveHosts.Presence.LEAVING);
        assertEquals(servers.eligibleHosts().size(), 1);
        list.put("s0", LiveHosts.Presence.LEAVING);
        assertFalse(servers.choose(Set.of(), SlotCaps.none()).isPresent());
    }

    /** A busy server is backed off for a bounded time and then tried with one request. */
    @Test
    public void busyServerIsBackedOff() {
        PoolServers servers = pool(PlacementPolicy.defaultPolicy(), hosts(1, 8), LiveHosts.unknown());
        Object token = new Object();
        Host host = send(servers, token).orElseThrow();
        time.runFor(SERVICE);
        servers.recordEnd(host, token, Result.SUCCESS);
        Object refused = new Object();
        send(servers, refused).orElseThrow();
        servers.recordEnd(host, refused, Result.BUSY);
        assertFalse(send(servers, new Object()).isPresent());
        time.runFor(Duration.ofMillis(10));
        assertTrue(send(servers, new Object()).isPresent());
        assertFalse(send(servers, new Object()).isPresent());
    }

    /**
     * After a busy refusal, slots of other hosts are retried after a pause, which is shorter for an underserved team.
     */
    @Test
    public void underservedTeamRetriesOtherSlotsSooner() {
        PoolServers servers = pool(PlacementPolicy.defaultPolicy(), hosts(4, 8), LiveHosts.unknown());
        runRequests(servers, Set.of(), Duration.ofSeconds(1));
        for (boolean underserved : new boolean[] {true, false}) {
            SlotCaps caps = new SlotCaps(Map.of(), false, underserved);
            Host otherHost = servers.choose(Set.of(), caps).orElseThrow();
            servers.recordStart(otherHost, "beyond");
            servers.recordEnd(otherHost, "beyond", Result.BUSY);
            assertFalse(servers.choose(Set.of(), caps).isPresent());
            time.runFor(Duration.ofNanos(1_500_000));
            assertEquals(servers.choose(Set.of(), caps).isPresent(), underserved);
            time.runFor(Duration.ofMillis(20));
            assertTrue(servers.choose(Set.of(), caps).isPresent());
        }
    }
}

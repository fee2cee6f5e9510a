package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.InForceMonitor;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests the entry hosts of the core under single failures of hosts, links and the store. */
public final class EntryHostFaultsTest {
    private static final String TEAM = FaultSite.TEAMS.get(0);

    private static FaultSite site() {
        FaultSite site = new FaultSite(3, Telemetry.none());
        run(site, 5);
        for (EntryProcess process : site.processes()) {
            Assert.assertTrue(process.host().isReady(), process + " is not ready");
        }
        return site;
    }

    private static void run(FaultSite site, long seconds) {
        site.time().runFor(Duration.ofSeconds(seconds));
        Assert.assertEquals(site.guarantees().violations(), List.of());
    }

    private static void cutFromPeers(FaultSite site, int slot, int change) {
        for (int other = 0; other < site.hosts(); other++) {
            site.links().cut(slot, other, change);
            site.links().cut(other, slot, change);
        }
    }

    /**
     * A store outage of an hour must not make any host lose its serving lease, because the hosts renew it with each
     * other.
     */
    @Test
    public void hourLongStoreOutageKeepsHostsReady() {
        FaultSite site = site();
        site.stopCallers();
        site.changeStoreFaults(1, 0, 0);
        for (int minute = 0; minute < 60; minute++) {
            run(site, 60);
            site.processes().forEach(process -> Assert.assertTrue(process.host().isReady(), process + " is not ready"));
        }
    }

    /** The remaining hosts stay ready when a minority of hosts crashes during a store outage. */
    @Test
    public void storeOutageWithMinorityCrashedKeepsOthersReady() {
        FaultSite site = site();
        site.changeStoreFaults(1, 0, 0);
        for (int slot = 0; slot < (site.hosts() - 1) / 2; slot++) {
            site.kill(slot);
        }
        run(site, 30);
        site.processes().forEach(process -> Assert.assertTrue(process.host().isReady(), process + " is not ready"));
    }

    /**
     * A host cut off from the store and its peers loses its serving lease within 2 s while the others keep theirs; it
     * becomes ready again once reconnected.
     */
    @Test
    public void isolatedHostStopsServingWithinSeconds() {
        FaultSite site = site();
        site.cutStore(0, 1);
        cutFromPeers(site, 0, 1);
        run(site, 2);
        Assert.assertFalse(site.process(0).orElseThrow().host().isReady());
        for (int slot = 1; slot < site.hosts(); slot++) {
            Assert.assertTrue(site.process(slot).orElseThrow().host().isReady());
        }
        cutFromPeers(site, 0, -1);
        site.cutStore(0, -1);
        run(site, 5);
        Assert.assertTrue(site.process(0).orElseThrow().host().isReady());
    }

    /** A host that is cut off from the store only stays ready and gets configuration changes from its peers. */
    @Test
    public void hostCutFromStoreGetsConfigurationFromPeers() {
        FaultSite site = site();
        site.cutStore(0, 1);
        run(site, 1);
        site.operators().changeLimit(TEAM, 17);
        run(site, 6);
        EntryProcess cut = site.process(0).orElseThrow();
        Assert.assertTrue(cut.host().isReady());
        Assert.assertEquals(cut.host().configuration().teams().get(TEAM).limitTasks(), 17);
    }

    /** The serving lease of a paused process expires, so that it starts no work on an old view when it resumes. */
    @Test
    public void pausedProcessLosesServingLease() {
        FaultSite site = site();
        EntryProcess paused = site.process(0).orElseThrow();
        paused.pause();
        run(site, 3);
        Assert.assertFalse(paused.host().servingLease().mayStartWork());
        paused.time().resume();
        run(site, 3);
        Assert.assertTrue(paused.host().isReady());
    }

    /** A process restarted at a crashed host's address replaces that member; the number of members stays the same. */
    @Test
    public void processRestartedAtSameAddressReplacesMember() {
        FaultSite site = site();
        site.kill(0);
        site.startProcess(0);
        run(site, 5);
        EntryProcess successor = site.process(0).orElseThrow();
        Assert.assertTrue(successor.host().isReady());
        Assert.assertEquals(successor.host().members().size(), site.hosts());
    }

    /** The site recovers after all hosts crash and restart at the same time. */
    @Test
    public void allHostsRestartedAtOnceBecomeReady() {
        FaultSite site = site();
        for (int slot = 0; slot < site.hosts(); slot++) {
            site.kill(slot);
        }
        for (int slot = 0; slot < site.hosts(); slot++) {
            site.startProcess(slot);
        }
        run(site, 8);
        site.processes().forEach(process -> Assert.assertTrue(process.host().isReady(), process + " is not ready"));
    }

    /** A crashed host is removed from the members record. */
    @Test
    public void crashedHostIsRemovedFromMembers() {
        FaultSite site = site();
        site.kill(1);
        run(site, 20);
        Assert.assertEquals(site.process(0).orElseThrow().host().members().size(), site.hosts() - 1);
    }

    /** A change is in force within 6 s while one host is isolated, because a majority acknowledges it. */
    @Test
    public void changeIsInForceAtMajorityWithOneHostIsolated() {
        FaultSite site = site();
        cutFromPeers(site, 0, 1);
        site.cutStore(0, 1);
        long revision = site.operators().put("teams", TEAM, new org.basilswitch.configuration.Team(TEAM, 1, 9));
        List<InForceMonitor.Acknowledgement> results = new ArrayList<>();
        CompletionStage<InForceMonitor.Acknowledgement> wait =
                site.process(1).orElseThrow().host().inForceMonitor().await(revision, Duration.ofSeconds(6));
        wait.thenAccept(results::add);
        run(site, 7);
        Assert.assertTrue(results.get(0).inForce());
    }

    /** A team whose callers use one host gets its whole limit there although its units were spread over all hosts. */
    @Test
    public void teamAtOneHostReachesWholeLimit() {
        FaultSite site = site();
        site.stopCallers();
        run(site, 10);
        site.operators().changeLimit(TEAM, 100);
        run(site, 5);
        List<EntryProcess> holders = new ArrayList<>();
        for (EntryProcess process : site.processes()) {
            if (process.host().limits().tryAcquire(TEAM)) {
                holders.add(process);
            }
        }
        run(site, 3);
        holders.forEach(process -> process.host().limits().release(TEAM));
        run(site, 3);
        EntryProcess one = site.process(0).orElseThrow();
        int acquired = 0;
        for (int i = 0; i < 100; i++) {
            while (one.host().limits().tryAcquire(TEAM)) {
                acquired++;
            }
            site.time().runFor(Duration.ofMillis(50));
        }
        Assert.assertTrue(acquired >= 97 && acquired <= 100, "units acquired: " + acquired);
    }

    /** After a limit is lowered, the sum of the allotments shrinks to it as running requests end. */
    @Test
    public void allotmentsShrinkToLoweredLimit() {
        FaultSite site = site();
        site.operators().changeLimit(TEAM, 12);
        run(site, 20);
        site.operators().changeLimit(TEAM, 3);
        run(site, 10);
        FaultSite.AllotmentTotals totals = site.allotments(TEAM).orElseThrow();
        Assert.assertEquals(totals.limit(), 3);
        Assert.assertTrue(totals.sum() <= 3, "units allotted: " + totals.sum());
    }

    /** The units of a crashed host are reclaimed after its removal and the longest run time of its work. */
    @Test
    public void unitsOfCrashedHostAreReclaimed() {
        FaultSite site = site();
        run(site, 10);
        site.kill(0);
        site.stopCallers();
        run(site, 20);
        EntryProcess one = site.process(1).orElseThrow();
        int limit = site.operators().limit(TEAM);
        int acquired = 0;
        for (int i = 0; i < 200; i++) {
            while (one.host().limits().tryAcquire(TEAM)) {
                acquired++;
            }
            site.time().runFor(Duration.ofMillis(50));
        }
        Assert.assertEquals(acquired, limit);
    }
}

package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Leaders that the store turns away while it serves the other entry hosts. */
final class LeadershipHandoverTest {
    private static final int SERVERS = 4;
    /** Time from the last renewal to the handover, 0.9 s, and from there to the first start, at most. */
    private static final int MAX_GAP_MS = 1300;

    private static JobFleet busyFleet() {
        return busyFleet(3);
    }

    private static JobFleet busyFleet(int nodes) {
        JobFleet fleet = JobFleet.running(nodes, SERVERS);
        for (int i = 1; i <= 12; i++) {
            fleet.submit(
                    fleet.nodes.get(i % nodes),
                    JobFleet.id(i),
                    JobFleet.step(4, 2000, 1500),
                    JobFleet.step(4, 2000, 1500, 0));
        }
        fleet.submit(fleet.nodes.get(0), JobFleet.id(99), JobFleet.longRunning(6, 3000, 1));
        fleet.runFor(700);
        return fleet;
    }

    private static void cutFromStore(JobFleet fleet, JobNode node) {
        fleet.clients.get(fleet.nodes.indexOf(node)).setReachable(false);
    }

    private static Optional<JobNode> otherLeader(JobFleet fleet, JobNode former) {
        return fleet.nodes.stream()
                .filter(node -> node != former && node.scheduler().isPresent())
                .findFirst();
    }

    private static int msUntilOtherLeader(JobFleet fleet, JobNode former) {
        for (int ms = 0; ms < 10_000; ms += 10) {
            if (otherLeader(fleet, former).isPresent()) {
                return ms;
            }
            fleet.runFor(10);
        }
        throw new AssertionError("no other leader\n" + fleet.lastEvents());
    }

    private static void assertAllIsDoneOnce(JobFleet fleet, String what) {
        fleet.runFor(20_000);
        assertEquals(fleet.model.invariants().violations(), List.of(), what + "\n" + fleet.lastEvents());
    }

    /** Guards against two seconds without starts each time the store turns the leader away. */
    @Test
    public void leaderThatStoreTurnsAwayHandsOver() {
        List<String> slow = new ArrayList<>();
        for (int phaseMs = 0; phaseMs < 700; phaseMs += 50) {
            JobFleet fleet = busyFleet();
            fleet.runFor(phaseMs);
            JobNode former = fleet.leader();
            cutFromStore(fleet, former);
            int gapMs = msUntilOtherLeader(fleet, former);
            if (gapMs > MAX_GAP_MS) {
                slow.add(phaseMs + " ms: " + gapMs + " ms");
            }
            assertTrue(former.scheduler().isEmpty(), "former leader acts");
            assertAllIsDoneOnce(fleet, phaseMs + " ms");
        }
        assertEquals(slow, List.of());
    }

    /**
     * Guards against calls that are left undecided for seconds at the former leader, and at a host that the store turns
     * away as well and that does not know the next leader.
     */
    @Test
    public void callsAtHostsTurnedAwayWithTheLeaderReachTheNextOne() {
        JobFleet fleet = busyFleet(4);
        JobNode former = fleet.leader();
        JobNode other =
                fleet.nodes.stream().filter(node -> node != former).findFirst().orElseThrow();
        cutFromStore(fleet, former);
        cutFromStore(fleet, other);
        msUntilOtherLeader(fleet, former);
        fleet.runFor(300);
        for (JobNode node : List.of(former, other)) {
            String id = JobFleet.id(100 + fleet.nodes.indexOf(node));
            assertEquals(
                    fleet.answerAfter(1100, fleet.submit(node, id, JobFleet.step(1, 1000, 5000))),
                    new JobAnswer.Accepted(),
                    fleet.lastEvents());
            assertEquals(fleet.answerAfter(1100, fleet.query(node, id)), new JobAnswer.State(JobState.RUNNING));
            assertEquals(fleet.answerAfter(1100, fleet.cancel(node, id)), new JobAnswer.Cancelled());
        }
    }

    /** Guards against a leader that gives up while the store serves nobody, when leases would lapse sooner. */
    @Test
    public void leaderStaysWhileStoreServesNobody() {
        JobFleet fleet = busyFleet();
        JobNode leader = fleet.leader();
        fleet.nodes.forEach(node -> cutFromStore(fleet, node));
        fleet.runFor(1100);
        assertTrue(leader.scheduler().isPresent(), fleet.lastEvents());
        assertFalse(fleet.lastEvents().contains("LEADERSHIP_HANDED_OVER"), fleet.lastEvents());
        fleet.runFor(1000);
        fleet.clients.forEach(client -> client.setReachable(true));
        assertAllIsDoneOnce(fleet, "outage");
    }

    /** Guards against a leadership that wanders while hosts are paused: the store confirms it as soon as it is asked. */
    @Test
    public void pausedLeaderDoesNotHandOver() {
        List<String> faults = new ArrayList<>();
        for (int phaseMs = 0; phaseMs < 700; phaseMs += 20) {
            for (int pauseMs : List.of(500, 900, 1200)) {
                JobFleet fleet = busyFleet();
                fleet.runFor(phaseMs);
                fleet.timeOf(fleet.leader()).suspendFor(Duration.ofMillis(pauseMs));
                fleet.runFor(3000);
                if (countEvents(fleet, "LEADERSHIP_HANDED_OVER") > 0) {
                    faults.add("phase " + phaseMs + " ms, pause " + pauseMs + " ms");
                }
            }
        }
        assertEquals(faults, List.of());
    }

    /** Guards against more than the rest of the lease without a leader when the message is lost. */
    @Test
    public void lostRequestCostsRestOfLease() {
        for (int phaseMs = 0; phaseMs < 700; phaseMs += 100) {
            JobFleet fleet = busyFleet();
            fleet.runFor(phaseMs);
            fleet.handoverDelay = Optional.empty();
            JobNode former = fleet.leader();
            cutFromStore(fleet, former);
            int gapMs = msUntilOtherLeader(fleet, former);
            assertTrue(gapMs <= 2900, phaseMs + " ms: " + gapMs + " ms\n" + fleet.lastEvents());
            assertAllIsDoneOnce(fleet, phaseMs + " ms");
        }
    }

    /** Guards against two leaders by turns when the message arrives late, beside the former leader's return. */
    @Test
    public void lateRequestHasNoEffectOnNextLeader() {
        for (int delayMs = 200; delayMs < 6000; delayMs += 400) {
            JobFleet fleet = busyFleet();
            fleet.handoverDelay = Optional.of(Duration.ofMillis(delayMs));
            JobNode former = fleet.leader();
            cutFromStore(fleet, former);
            fleet.runFor(1500);
            fleet.clients.forEach(client -> client.setReachable(true));
            fleet.runFor(1500);
            long leaders = fleet.nodes.stream()
                    .filter(node -> node.scheduler().isPresent())
                    .count();
            assertTrue(leaders <= 1, leaders + " leaders\n" + fleet.lastEvents());
            int acquired = countEvents(fleet, "DUTY_ACQUIRED");
            fleet.runFor(delayMs + 1000);
            assertTrue(
                    countEvents(fleet, "DUTY_ACQUIRED") <= acquired + (delayMs < 1500 ? 1 : 0),
                    "delay " + delayMs + " ms\n" + fleet.lastEvents());
            assertAllIsDoneOnce(fleet, "delay " + delayMs + " ms");
        }
    }

    private static int countEvents(JobFleet fleet, String name) {
        return (int) fleet.events.stream()
                .filter(event -> event.contains(" " + name + " "))
                .count();
    }
}

package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.intake.JobCall;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Recurrence;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.ServerCommands;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Runs that a leader could take for lost while they are in progress, and ends of runs that it could lose. */
final class RunLossTest {
    /**
     * Guards against two runs where a server restarts under its identifier just before a start reaches it. The answer
     * to a start does not name the incarnation, so that the run is taken for one of the ended incarnation.
     */
    @Test
    public void startAnsweredByNextIncarnationIsNotLost() {
        List<String> faults = new ArrayList<>();
        for (int beforeMs = 0; beforeMs <= 60; beforeMs += 5) {
            JobFleet fleet = JobFleet.running(1, 3);
            ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
            fleet.submit(fleet.leader(), item.job(), JobFleet.longRunning(1, 6000, 0));
            fleet.runFor(beforeMs);
            for (int i = 0; i < 3; i++) {
                fleet.model.restart("s" + i);
            }
            fleet.runFor(12_000);
            if (!fleet.model.invariants().violations().isEmpty()) {
                faults.add("restart " + beforeMs + " ms after the submission: "
                        + fleet.model.invariants().violations() + "\n" + fleet.lastEvents());
            }
        }
        assertEquals(faults, List.of(), String.join("\n", faults));
    }

    /**
     * Guards against stops of long-running work that the next incarnation of a server has started and that could go on: the
     * list of servers shows the restart late, and starts sent meanwhile are carried out there.
     */
    @Test
    public void longRunningWorkStartedByNextIncarnationGoesOn() {
        List<String> faults = new ArrayList<>();
        for (int phaseMs = 0; phaseMs < 1500; phaseMs += 50) {
            JobFleet fleet = JobFleet.running(1, 1);
            fleet.runFor(phaseMs);
            fleet.model.restart("s0");
            fleet.answerAfter(2000, fleet.submit(fleet.leader(), JobFleet.id(1), JobFleet.longRunning(3, 6000, 1)));
            fleet.runFor(4000);
            assertEquals(fleet.model.activeRunCount(), 3, fleet.lastEvents());
            if (fleet.model.invariants().startCount() > 3) {
                faults.add("phase " + phaseMs + " ms: "
                        + fleet.model.invariants().startCount() + " starts\n" + fleet.lastEvents());
            }
        }
        assertEquals(faults, List.of(), faults.size() + " phases\n" + String.join("\n", faults));
    }

    /** Guards against later runs of a gang that go on, on room believed free, after an earlier run has completed it. */
    @Test
    public void laterRunOfGangIsStoppedWhenEarlierOneCompletedIt() {
        JobFleet fleet = JobFleet.running(1, 4);
        String id = JobFleet.id(1);
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(3000));
        fleet.answerAfter(300, fleet.submit(fleet.leader(), id, JobFleet.gang(2, 40_000, 3000)));
        List<String> first = List.of(fleet.serverOf(new ItemId(id, 0, 0, 0)), fleet.serverOf(new ItemId(id, 0, 0, 1)));
        first.forEach(server -> fleet.model.setUnreachable(server, true));
        fleet.model.setWorkTimes((item, server) -> Duration.ofSeconds(60));
        for (int i = 0; i < 1000 && fleet.model.invariants().startCount() < 4; i++) {
            fleet.runFor(10);
        }
        assertEquals(fleet.model.activeRunCount(), 2, fleet.lastEvents());
        fleet.model.setUnreachable(first.get(0), false);
        for (int i = 0; i < 300 && fleet.model.activeRunCount() == 2; i++) {
            fleet.runFor(10);
        }
        fleet.runFor(300);
        assertEquals(fleet.model.activeRunCount(), 0, fleet.lastEvents());
    }

    /** Guards against acknowledgements that stop because an end arrived while the job's final record was written. */
    @Test
    public void endThatArrivesDuringFinalWriteIsAcknowledged() {
        JobFleet fleet = JobFleet.running(1, 2);
        JobNode leader = fleet.leader();
        ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
        // The second run, a copy, ends while the final record of the job is being written.
        fleet.answerAfter(300, fleet.submit(leader, item.job(), JobFleet.speculative(1, 20_000, 3000)));
        String first = fleet.serverOf(item);
        fleet.model.setUnreachable(first, true);
        fleet.runFor(1900);
        fleet.model.setUnreachable(first, false);
        fleet.runFor(500);
        assertEquals(fleet.model.invariants().startCount(), 2, fleet.lastEvents());
        fleet.clients.get(0).setOneWayDelay(Duration.ofMillis(100));
        fleet.runFor(6000);
        fleet.clients.get(0).setOneWayDelay(Duration.ZERO);
        fleet.runFor(3000);
        List<String> listed = new ArrayList<>();
        String events = fleet.lastEvents();
        for (String id : List.of("s0", "s1")) {
            ServerCommands.LeaseRenewal query = new ServerCommands.LeaseRenewal(Optional.empty(), 0, Duration.ZERO);
            fleet.model
                    .serverCommands()
                    .renewLease(fleet.model.server(id).entry(), Long.MAX_VALUE, query)
                    .thenAccept(result ->
                            ((ServerCommands.Report) result).ended().forEach(end -> listed.add(id + " " + end)));
        }
        fleet.runFor(10);
        assertEquals(listed, List.of(), "ends not acknowledged 3 s later\n" + events);
    }

    /** Guards against an attempt too many: a failure on a server that was silent is acknowledged and not counted. */
    @Test
    public void failureOfRunThatWasTakenForLostCounts() {
        JobFleet fleet = JobFleet.running(1, 3);
        ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
        fleet.model.setFailurePolicy((failing, run, server) -> true);
        fleet.model.setWorkTimes((work, server) -> Duration.ofMillis(2000));
        fleet.answerAfter(300, fleet.submit(fleet.leader(), item.job(), JobFleet.step(1, 20_000, 2000)));
        String first = fleet.serverOf(item);
        fleet.model.setUnreachable(first, true);
        for (int i = 0; i < 8000 && fleet.model.invariants().startCount() < 2; i += 10) {
            fleet.runFor(10);
        }
        assertEquals(fleet.model.invariants().startCount(), 2, fleet.lastEvents());
        fleet.model.setUnreachable(first, false);
        fleet.runFor(20_000);
        assertTrue(
                fleet.model.invariants().failures(item) <= 3,
                "failed runs with at most 3 attempts: "
                        + fleet.model.invariants().failures(item) + "\n" + fleet.lastEvents());
    }

    /**
     * Guards against two runs after a second loss: the time for which a start is held on the next incarnation is not
     * stored, and the next leader waits for one lease time only.
     */
    @Test
    public void nextLeaderHoldsDelayedStartOnNextIncarnation() {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.runFor(8000);
        JobNode leader = fleet.leader();
        NodeServerCommands commands = fleet.commandsOf(leader);
        commands.delayNextOrder("s0", Duration.ofMillis(9000));
        commands.delayNextOrder("s1", Duration.ofMillis(9000));
        ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
        fleet.answerAfter(50, fleet.submit(leader, item.job(), JobFleet.longRunning(1, 20_000, 0)));
        commands.clearOrderDelays();
        String server = fleet.serverOfFirstOrder();
        fleet.serverCommands.forEach(cut -> cut.setCut(server, true));
        fleet.model.restart(server);
        fleet.runFor(1500);
        fleet.killProcess(leader);
        fleet.runFor(25_000);
        assertEquals(fleet.model.invariants().violations(), List.of(), fleet.lastEvents());
    }

    /**
     * Guards against repeating completed work whose ends do not fit into one report: the platform returns 500 ends at a
     * time, 100 in this model, and a run that is in neither list counts as not running.
     */
    @Test
    public void endBeyondFirstPageIsNotTakenForLost() {
        JobFleet fleet = JobFleet.running(1, 1);
        fleet.commandsOf(fleet.leader()).limitEndsPerReport(100);
        fleet.answerAfter(1000, fleet.submit(fleet.leader(), JobFleet.id(1), JobFleet.step(200, 100, 2500)));
        assertEquals(fleet.model.invariants().startCount(), 200);
        fleet.runFor(8000);
        assertEquals(fleet.model.invariants().startCount(), 200, fleet.lastEvents());
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    /**
     * Guards against two runs where a renewal without an answer is carried out by the next incarnation, whose clock
     * starts anew, so that it holds its runs for longer than the leader waits.
     */
    @Test
    public void delayedRenewalOnNextIncarnationIsWaitedFor() {
        JobFleet fleet = JobFleet.running(1, 2);
        fleet.runFor(4000);
        JobNode leader = fleet.leader();
        NodeServerCommands commands = fleet.commandsOf(leader);
        commands.delayNextRenewal("s0", Duration.ofMillis(3000));
        for (int i = 0; i < 2000 && commands.hasRenewalDelay("s0"); i++) {
            fleet.runFor(1);
        }
        fleet.model.restart("s0");
        fleet.runFor(1500);
        fleet.answerAfter(1000, fleet.submit(leader, JobFleet.id(1), JobFleet.longRunning(2, 20_000, 0)));
        assertTrue(fleet.model.server("s0").activeRunCount() > 0, "no run on s0\n" + fleet.lastEvents());
        fleet.runFor(1000);
        commands.setCut("s0", true);
        fleet.runFor(12_000);
        assertEquals(fleet.model.invariants().violations(), List.of(), fleet.lastEvents());
    }

    /**
     * Guards against two runs where a renewal for an incarnation that has just ended is answered by the next one, which
     * then holds its runs for up to the longest lease.
     */
    @Test
    public void renewalAnsweredByNextIncarnationIsWaitedFor() {
        List<String> faults = new ArrayList<>();
        for (int phaseMs = 0; phaseMs < 1500; phaseMs += 25) {
            for (boolean busy : List.of(false, true)) {
                JobFleet fleet = JobFleet.running(1, 2);
                fleet.listDelay = Duration.ofMillis(900);
                JobNode leader = fleet.leader();
                if (busy) {
                    fleet.submit(leader, JobFleet.id(2), JobFleet.longRunning(2, 20_000, 0));
                }
                fleet.runFor(8000 + phaseMs);
                fleet.model.restart("s0");
                fleet.runFor(2500);
                fleet.submit(leader, JobFleet.id(1), JobFleet.longRunning(4, 12_000, 0));
                fleet.runFor(700);
                fleet.serverCommands.forEach(commands -> commands.setCut("s0", true));
                fleet.runFor(12_000);
                if (!fleet.model.invariants().violations().isEmpty()) {
                    faults.add("restart after " + phaseMs + " ms, with runs " + busy + ": "
                            + fleet.model.invariants().violations());
                }
            }
        }
        assertEquals(faults, List.of(), String.join("\n", faults));
    }

    /**
     * Guards against repeating completed work after a renewal for an ended incarnation is carried out late by the next one:
     * it acknowledges ends by their numbers, which start anew, so that the next report shows neither the run nor its end.
     */
    @Test
    public void delayedAcknowledgementForgetsNoEndOfNextIncarnation() {
        JobFleet fleet = JobFleet.running(1, 1);
        JobNode leader = fleet.leader();
        NodeServerCommands commands = fleet.commandsOf(leader);
        fleet.answerAfter(4000, fleet.submit(leader, JobFleet.id(2), JobFleet.step(3, 1000, 500)));
        commands.delayNextRenewal("s0", Duration.ofMillis(6000));
        for (int i = 0; i < 2000 && commands.hasRenewalDelay("s0"); i++) {
            fleet.runFor(1);
        }
        fleet.model.restart("s0");
        fleet.runFor(2500);
        ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
        fleet.answerAfter(600, fleet.submit(leader, item.job(), JobFleet.step(1, 1000, 1000)));
        assertEquals(fleet.serverOf(item), "s0");
        commands.setCut("s0", true);
        fleet.runFor(3400);
        assertTrue(fleet.model.invariants().isDone(item), "not done during the cut\n" + fleet.lastEvents());
        commands.setCut("s0", false);
        fleet.runFor(4000);
        assertEquals(fleet.model.invariants().violations(), List.of(), fleet.lastEvents());
    }

    /**
     * Guards against long-running work that waits for 18 s on a server that is lost for good soon after a restart: the
     * platform counts items without a run for 7 s, although other servers have room.
     */
    @Test
    public void workAvoidsServerThatRestartedWhileOthersHaveRoom() {
        List<String> faults = new ArrayList<>();
        for (int phaseMs = 0; phaseMs < 1000; phaseMs += 100) {
            JobFleet fleet = JobFleet.running(1, 4);
            fleet.submit(fleet.leader(), JobFleet.id(1), JobFleet.longRunning(4, 1000, 0));
            fleet.runFor(3000 + phaseMs);
            fleet.model.crash("s0");
            fleet.runFor(500);
            fleet.model.restart("s0");
            fleet.runFor(1000);
            fleet.submit(fleet.leader(), JobFleet.id(2), JobFleet.longRunning(4, 1000, 0));
            fleet.runFor(2000);
            fleet.model.crash("s0");
            fleet.runFor(7000);
            if (fleet.model.activeRunCount() < 8) {
                faults.add("crash after " + phaseMs + " ms: " + fleet.model.activeRunCount() + " of 8 items run\n"
                        + fleet.lastEvents());
            }
        }
        assertEquals(faults, List.of(), String.join("\n", faults));
    }

    /**
     * Guards against waiting for calls that a restarted server can't carry out any more: once it has seen the token of its
     * calls, runs last for no more than the longest lease, 10 s on a clock that may be 2 % slow.
     */
    @Test
    public void runsOfRestartedServerAreHeldForLongestLeaseOnly() {
        JobFleet fleet = JobFleet.running(1, 1);
        fleet.submit(fleet.leader(), JobFleet.id(1), JobFleet.longRunning(1, 1000, 0));
        fleet.runFor(3000);
        fleet.model.crash("s0");
        fleet.runFor(500);
        fleet.model.restart("s0");
        fleet.runFor(2000);
        assertEquals(fleet.model.activeRunCount(), 1, fleet.lastEvents());
        fleet.model.crash("s0");
        fleet.model.addServer("s1", JobFleet.POOL, JobFleet.SERVER_CAPACITY, "rack-1");
        fleet.runFor(9500);
        assertEquals(fleet.model.activeRunCount(), 1, fleet.lastEvents());
    }

    /**
     * Guards against two runs where a server that restarted has carried out the late start of an earlier leader, which the
     * leader learns from a report while the work item waits: the run was stopped, and another one started meanwhile.
     */
    @Test
    public void runOfWaitingItemIsTakenOverFromReport() {
        JobFleet fleet = JobFleet.running(2, 1);
        JobNode first = fleet.leader();
        fleet.commandsOf(first).delayNextOrder("s0", Duration.ofMillis(6000));
        ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
        fleet.answerAfter(50, fleet.submit(first, item.job(), JobFleet.longRunning(1, 20_000, 0)));
        fleet.killProcess(first);
        fleet.runFor(5300);
        assertEquals(fleet.serverOf(item), "s0");
        fleet.serverCommands.forEach(commands -> commands.setCut("s0", true));
        fleet.model.restart("s0");
        fleet.runFor(900);
        fleet.serverCommands.forEach(commands -> commands.setCut("s0", false));
        fleet.runFor(3000);
        assertEquals(fleet.model.invariants().violations(), List.of(), fleet.lastEvents());
        assertEquals(fleet.serverOf(item), "s0");
        assertEquals(fleet.model.invariants().startCount(), 2, fleet.lastEvents());
    }

    /**
     * Guards against two runs where a start without an answer was stopped, so that its work item runs elsewhere, and the next
     * incarnation of its server, which does not know of the stop, carries it out.
     */
    @Test
    public void stoppedStartIsBlockedOnNextIncarnation() {
        List<String> faults = new ArrayList<>();
        for (int restartMs = 1500; restartMs <= 4500; restartMs += 500) {
            JobFleet fleet = JobFleet.running(1, 3);
            JobNode leader = fleet.leader();
            NodeServerCommands commands = fleet.commandsOf(leader);
            for (int i = 0; i < 3; i++) {
                commands.delayNextOrder("s" + i, Duration.ofMillis(6000));
            }
            ItemId item = new ItemId(JobFleet.id(1), 0, 0, 0);
            fleet.answerAfter(50, fleet.submit(leader, item.job(), JobFleet.longRunning(1, 6000, 0)));
            commands.clearOrderDelays();
            String server = fleet.serverOfFirstOrder();
            // The work item goes to another server.
            fleet.model.markDraining(server);
            fleet.runFor(restartMs);
            fleet.model.restart(server);
            fleet.runFor(12_000);
            if (!fleet.model.invariants().violations().isEmpty()) {
                faults.add("restart after " + restartMs + " ms: "
                        + fleet.model.invariants().violations());
            }
        }
        assertEquals(faults, List.of(), String.join("\n", faults));
    }

    /**
     * Guards against starting scheduled work early after a step of the leader's wall clock. The platform allows 250 ms,
     * and 5 s more on days on which clocks jump; the step of the incident was 6 s.
     */
    @Test
    public void scheduledWorkStartsNoEarlierThanAllowedAfterStep() {
        JobFleet fleet = JobFleet.running(1, 2);
        JobNode leader = fleet.leader();
        long dueMs = fleet.time.millis() + 20_000;
        String id = JobFleet.id(1);
        List<StepSpec> steps = List.of(JobFleet.step(1, 1000, 500));
        Recurrence recurrence = new Recurrence(1, dueMs, 1000);
        fleet.model.registerJob(new JobSubmission(id, "queue", "team", "spec", steps, recurrence, 0));
        fleet.answerAfter(
                500,
                leader.service().answer(JobFleet.call(id, new JobCall.Submit("spec", steps, Optional.of(recurrence)))));
        fleet.timeOf(leader).stepWallClock(Duration.ofMillis(6000));
        for (int i = 0; i < 30_000 && fleet.model.invariants().startCount() == 0; i += 10) {
            fleet.runFor(10);
        }
        long earlyMs = dueMs - fleet.time.millis();
        assertTrue(earlyMs <= 5250, "started " + earlyMs + " ms early\n" + fleet.lastEvents());
    }

    /**
     * Guards against holding work for the longest wait although its server answers: a list that was read before the
     * server's restart arrives after a report of the next incarnation, which is then taken for ended.
     */
    @Test
    public void staleListDoesNotEndNextIncarnation() {
        List<String> faults = new ArrayList<>();
        for (int phaseMs = 0; phaseMs < 1500; phaseMs += 25) {
            JobFleet fleet = JobFleet.running(1, 2);
            fleet.listDelay = Duration.ofMillis(900);
            fleet.runFor(1000 + phaseMs);
            JobNode leader = fleet.leader();
            fleet.commandsOf(leader).delayNextOrder("s0", Duration.ofMillis(5000));
            fleet.commandsOf(leader).delayNextOrder("s1", Duration.ofMillis(5000));
            fleet.answerAfter(50, fleet.submit(leader, JobFleet.id(1), JobFleet.step(2, 40_000, 1000)));
            fleet.commandsOf(leader).clearOrderDelays();
            fleet.model.restart("s0");
            fleet.model.restart("s1");
            fleet.runFor(10_000);
            if (fleet.model.invariants().startCount() < 2) {
                faults.add(phaseMs + " ms: " + fleet.model.invariants().startCount() + " of 2 items started in 10 s\n"
                        + fleet.lastEvents());
            }
        }
        assertEquals(faults, List.of(), String.join("\n", faults));
    }
}

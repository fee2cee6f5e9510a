package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;

import org.basilswitch.job.ItemId;
import org.basilswitch.schedule.ServerCommands.RunEndKind;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Runs of several jobs that fail at the same moment, and servers that fail what they start. */
final class CommonFailureTest {
    private static final int JOBS = 4;
    private static final int SERVERS = 4;
    /** Time within which long-running work has to run again. */
    private static final long RESTART_MS = 6000;

    private static JobFleet fleetWithLongRunningJobs() {
        JobFleet fleet = JobFleet.running(3, SERVERS);
        for (int job = 1; job <= JOBS; job++) {
            fleet.answerAfter(500, fleet.submit(fleet.leader(), JobFleet.id(job), JobFleet.longRunning(4, 1000, 0)));
        }
        fleet.runFor(8000);
        assertEquals(fleet.model.activeRunCount(), JOBS * 4);
        return fleet;
    }

    private static void failAll(JobFleet fleet) {
        for (int job = 1; job <= JOBS; job++) {
            for (int index = 0; index < 4; index++) {
                ItemId item = new ItemId(JobFleet.id(job), 0, 0, index);
                fleet.model.server(fleet.serverOf(item)).endRun(item, RunEndKind.FAILED);
            }
        }
    }

    /** Guards against a pool without new work for 16 s after long-running work has failed once everywhere. */
    @Test
    public void longRunningWorkThatFailsEverywhereStartsAgain() {
        JobFleet fleet = fleetWithLongRunningJobs();
        failAll(fleet);
        fleet.runFor(RESTART_MS);
        assertEquals(fleet.model.activeRunCount(), JOBS * 4, fleet.lastEvents());
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    /** The same after a change of leader, which doesn't know how long the work has run. */
    @Test
    public void longRunningWorkThatFailsEverywhereStartsAgainUnderNextLeader() {
        JobFleet fleet = fleetWithLongRunningJobs();
        fleet.replaceLeader();
        fleet.runFor(5000);
        failAll(fleet);
        fleet.runFor(RESTART_MS);
        assertEquals(fleet.model.activeRunCount(), JOBS * 4, fleet.lastEvents());
    }

    /** Guards against a pause that doubles with each of several runs that fail at the same moment. */
    @Test
    public void runsThatFailTogetherCountAsOneFailure() {
        JobFleet fleet = JobFleet.running(3, 1);
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(300));
        fleet.model.setFailurePolicy((item, run, server) -> run == 1);
        for (int job = 1; job <= JOBS; job++) {
            fleet.submit(fleet.leader(), JobFleet.id(job), JobFleet.step(1, 1000, 300));
        }
        fleet.runFor(1000);
        assertEquals(fleet.model.activeRunCount(), 0);
        fleet.runFor(4500);
        for (int job = 1; job <= JOBS; job++) {
            assertTrue(fleet.leader().jobState(JobFleet.id(job)).orElseThrow().isFinal(), fleet.lastEvents());
        }
    }

    /** A server that fails what it starts gets no new work for longer and longer. */
    @Test
    public void serverThatFailsAllItStartsIsAvoided() {
        JobFleet fleet = JobFleet.running(3, SERVERS);
        fleet.model.setFailurePolicy((item, run, server) -> server.id().equals("s0"));
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(server.id().equals("s0") ? 200 : 1000));
        for (int job = 1; job <= 60; job++) {
            fleet.answerAfter(250, fleet.submit(fleet.leader(), JobFleet.id(job), JobFleet.step(4, 14_000, 1000)));
        }
        long pauses = fleet.events.stream()
                .filter(event -> event.contains("SERVER_FAILING server=s0"))
                .count();
        assertTrue(pauses >= 1 && pauses <= 3, pauses + " pauses in 15 s\n" + fleet.lastEvents());
        fleet.runFor(10_000);
        assertEquals(fleet.model.invariants().violations(), List.of());
    }
}

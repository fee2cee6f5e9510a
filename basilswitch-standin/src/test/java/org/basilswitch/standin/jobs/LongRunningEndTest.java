package org.basilswitch.standin.jobs;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.ServerCommands.RunEndKind;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Ends of long-running work items, which are started again until their job is cancelled. */
final class LongRunningEndTest {
    private static final String ID = JobFleet.id(1);
    private static final int ITEMS = 3;

    /** Kinds of ends, and whether the leader is replaced. */
    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {RunEndKind.DONE, false},
            {RunEndKind.DONE, true},
            {RunEndKind.FAILED, false},
            {RunEndKind.FAILED, true},
            {RunEndKind.STOPPED, false},
            {RunEndKind.LAPSED, false},
            {RunEndKind.BROKEN, true},
            {RunEndKind.ALONE, false},
        };
    }

    /** Guards against a long-running work item that stays away after an end, and a job that completes by such ends. */
    @Test(dataProvider = "ends")
    public void itemsAreStartedAgainHoweverTheyEnd(RunEndKind kind, boolean leaderReplaced) {
        JobFleet fleet = fleetWithJob();
        endAll(fleet, kind, leaderReplaced);
        assertAllRun(fleet);
        assertEquals(fleet.model.invariants().startCount(), 2 * ITEMS);
    }

    /** Guards against an item that ends as done only once it has ended so again under the next leader. */
    @Test
    public void itemsStoredAsDoneByEarlierVersionAreStartedAgain() {
        JobFleet fleet = fleetWithJob();
        fleet.killProcess(fleet.leader());
        for (int i = 0; i < ITEMS; i++) {
            end(fleet, i, RunEndKind.DONE);
        }
        storeProgress(fleet, "[0,0,0,true,1,0,0,\"\",null,0,0],[0,0,1,true,1,0,0,\"\",null,0,0]");
        fleet.runFor(8000);
        assertAllRun(fleet);
    }

    /** Guards against a stop of the current run when an end of an earlier one is reported late. */
    @Test
    public void lateEndOfEarlierRunKeepsCurrentRun() {
        JobFleet fleet = fleetWithJob();
        String first = fleet.serverOf(item(0));
        fleet.model.setUnreachable(first, true);
        end(fleet, 0, RunEndKind.DONE);
        fleet.runFor(12_000);
        assertAllRun(fleet);
        int starts = fleet.model.invariants().startCount();
        fleet.model.setUnreachable(first, false);
        fleet.runFor(5000);
        assertAllRun(fleet);
        assertEquals(fleet.model.invariants().startCount(), starts, fleet.lastEvents());
    }

    /** Guards against a start after the cancellation, and against another final state than cancelled. */
    @Test(dataProvider = "ends")
    public void itemsOfCancelledJobAreNotStartedAgain(RunEndKind kind, boolean leaderReplaced) {
        JobFleet fleet = fleetWithJob();
        fleet.answerAfter(20, fleet.cancel(fleet.leader(), ID));
        endAll(fleet, kind, leaderReplaced);
        assertEquals(fleet.model.invariants().startCount(), ITEMS, fleet.lastEvents());
        assertEquals(fleet.answerAfter(500, fleet.query(fleet.leader(), ID)), new JobAnswer.State(JobState.CANCELLED));
    }

    /** Guards against copies of long-running work that no completed run ever ends. */
    @Test
    public void noCopyIsStartedWhileServerIsSilent() {
        JobFleet fleet = fleetWith(JobFleet.longRunningSpeculative(ITEMS, 30_000));
        String silent = fleet.serverOf(item(0));
        fleet.model.setUnreachable(silent, true);
        fleet.runFor(2500);
        fleet.model.setUnreachable(silent, false);
        fleet.runFor(5000);
        assertAllRun(fleet);
        assertEquals(fleet.model.activeRunCount(), ITEMS, fleet.lastEvents());
    }

    /** Guards against a step that is started although a step before it lasts and is started again. */
    @Test(dataProvider = "ends")
    public void stepAfterLongRunningOneIsNotStarted(RunEndKind kind, boolean leaderReplaced) {
        JobFleet fleet = fleetWith(JobFleet.longRunning(ITEMS, 30_000, 0), JobFleet.step(2, 1000, 100, 0));
        endAll(fleet, kind, leaderReplaced);
        assertAllRun(fleet);
        assertEquals(fleet.model.invariants().startCount(), 2 * ITEMS, fleet.lastEvents());
    }

    /** Guards against a step that stays away after an earlier version has started it after a long-running one. */
    @Test
    public void stepThatEarlierVersionStartedGoesOn() {
        JobFleet fleet = fleetWith(JobFleet.longRunning(ITEMS, 10_000, 0), JobFleet.step(2, 1000, 100, 0));
        fleet.killProcess(fleet.leader());
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < ITEMS; i++) {
            end(fleet, i, RunEndKind.DONE);
            rows.append("[0,0,").append(i).append(",true,1,0,0,\"\",null,0,0],");
        }
        // One item of the second step has failed once, the other one has not been started.
        storeProgress(fleet, rows + "[0,1,0,false,1,1,1,\"\",null,0,0]");
        fleet.runFor(8000);
        assertTrue(fleet.model.invariants().isDone(new ItemId(ID, 0, 1, 0)), fleet.lastEvents());
        assertTrue(fleet.model.invariants().isDone(new ItemId(ID, 0, 1, 1)), fleet.lastEvents());
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.RUNNING);
    }

    /** Guards against a long-running job that is shown as completed and stays away, as an earlier version stored it so. */
    @Test
    public void jobStoredAsCompletedByEarlierVersionRunsOn() {
        JobFleet fleet = fleetWithJobStoredAsCompleted();
        fleet.runFor(8000);
        assertAllRun(fleet);
        for (JobNode node : List.of(fleet.readyNode(0), fleet.readyNode(1))) {
            assertEquals(
                    fleet.answerAfter(500, fleet.query(node, ID)),
                    new JobAnswer.State(JobState.RUNNING),
                    fleet.lastEvents());
        }
    }

    /** Guards against a cancellation that is confirmed and not stored, as the job is stored as completed. */
    @Test(dataProvider = "beforeTakeover")
    public void jobStoredAsCompletedByEarlierVersionIsCancelled(boolean beforeTakeover) {
        JobFleet fleet = fleetWithJobStoredAsCompleted();
        fleet.runFor(beforeTakeover ? 0 : 8000);
        assertEquals(fleet.answerAfter(1000, fleet.cancel(fleet.readyNode(0), ID)), new JobAnswer.Cancelled());
        int starts = fleet.model.invariants().startCount();
        fleet.runFor(8000);
        assertEquals(fleet.model.activeRunCount(), 0, fleet.lastEvents());
        assertEquals(fleet.model.invariants().startCount(), starts, fleet.lastEvents());
        assertEquals(
                fleet.answerAfter(500, fleet.query(fleet.readyNode(0), ID)), new JobAnswer.State(JobState.CANCELLED));
    }

    @DataProvider
    public Object[][] beforeTakeover() {
        return new Object[][] {{false}, {true}};
    }

    /** Returns a fleet whose leader was killed after its version has stored the job as completed. */
    private static JobFleet fleetWithJobStoredAsCompleted() {
        JobFleet fleet = fleetWithJob();
        fleet.killProcess(fleet.leader());
        for (int i = 0; i < ITEMS; i++) {
            end(fleet, i, RunEndKind.DONE);
        }
        fleet.store.commit(Transaction.builder()
                .put(
                        "/basilswitch/test/jobs/ended/" + ID,
                        JobState.COMPLETED.name().getBytes(StandardCharsets.UTF_8))
                .delete("/basilswitch/test/progress/" + ID)
                .build());
        return fleet;
    }

    private static void storeProgress(JobFleet fleet, String rows) {
        byte[] record = ("{\"fence\":1,\"sequence\":1,\"items\":[" + rows + "]}").getBytes(StandardCharsets.UTF_8);
        fleet.store.commit(Transaction.builder()
                .put("/basilswitch/test/progress/" + ID, record)
                .build());
    }

    private static JobFleet fleetWithJob() {
        return fleetWith(JobFleet.longRunning(ITEMS, 30_000, 0));
    }

    private static JobFleet fleetWith(StepSpec... steps) {
        JobFleet fleet = JobFleet.running(3, 3);
        fleet.answerAfter(500, fleet.submit(fleet.leader(), ID, steps));
        assertEquals(fleet.model.activeRunCount(), ITEMS);
        return fleet;
    }

    private static ItemId item(int index) {
        return new ItemId(ID, 0, 0, index);
    }

    /** Ends the run of an item; a stop that is in progress may have ended it already. */
    private static void end(JobFleet fleet, int index, RunEndKind kind) {
        if (fleet.model.invariants().isRunning(item(index))) {
            fleet.model.server(fleet.serverOf(item(index))).endRun(item(index), kind);
        }
    }

    private static void endAll(JobFleet fleet, RunEndKind kind, boolean leaderReplaced) {
        for (int i = 0; i < ITEMS; i++) {
            end(fleet, i, kind);
        }
        if (leaderReplaced) {
            fleet.replaceLeader();
        }
        fleet.runFor(3000);
    }

    private static void assertAllRun(JobFleet fleet) {
        for (int i = 0; i < ITEMS; i++) {
            assertTrue(fleet.model.invariants().isRunning(item(i)), "item " + i + "\n" + fleet.lastEvents());
        }
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.RUNNING);
        assertEquals(fleet.model.invariants().violations(), List.of());
    }
}

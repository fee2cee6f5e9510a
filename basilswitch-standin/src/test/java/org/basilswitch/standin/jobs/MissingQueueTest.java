package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Runs that fail while the configuration does not hold the queue of their job, and with it the number of attempts. */
final class MissingQueueTest {
    private static final String ID = JobFleet.id(1);
    private static final int MAX_ATTEMPTS = 3;
    private static final long FAILING_RUN_MS = 1000;

    /** Number of runs that fail before the queue is removed; whether the leader is replaced while it is missing. */
    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{0, false}, {1, false}, {0, true}, {1, true}};
    }

    /** Guards against a job that fails after fewer runs than its queue allows. */
    @Test(dataProvider = "failures")
    public void jobRunsOnAfterFailureWithoutQueue(int failuresBefore, boolean leaderReplaced) {
        JobFleet fleet = fleetWithFailureWithoutQueue(failuresBefore, leaderReplaced);
        assertEquals(state(fleet), new JobAnswer.State(JobState.RUNNING));
        addQueue(fleet);
        fleet.runFor(20_000);
        assertEquals(state(fleet), new JobAnswer.State(JobState.COMPLETED), fleet.lastEvents());
        assertEquals(fleet.model.invariants().failures(failingItem()), failuresBefore + 1);
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    /** Guards against a start beyond the allowed attempts once the queue is back. */
    @Test(dataProvider = "replacements")
    public void jobWithoutAttemptsLeftFailsOnceQueueIsBack(boolean leaderReplaced) {
        JobFleet fleet = fleetWithFailureWithoutQueue(MAX_ATTEMPTS - 1, leaderReplaced);
        assertEquals(state(fleet), new JobAnswer.State(JobState.RUNNING));
        int starts = fleet.model.invariants().startCount();
        addQueue(fleet);
        fleet.runFor(20_000);
        assertEquals(state(fleet), new JobAnswer.State(JobState.FAILED), fleet.lastEvents());
        assertEquals(fleet.model.invariants().startCount(), starts, fleet.lastEvents());
    }

    @DataProvider
    public Object[][] replacements() {
        return new Object[][] {{false}, {true}};
    }

    /** Guards against a final state other than cancelled for a job that is cancelled while its queue is missing. */
    @Test(dataProvider = "replacements")
    public void jobCancelledWithoutQueueIsCancelled(boolean leaderReplaced) {
        JobFleet fleet = fleetWithFailureWithoutQueue(MAX_ATTEMPTS - 1, leaderReplaced);
        fleet.store.commit(Transaction.builder()
                .put("/basilswitch/test/jobs/cancelled/" + ID, new byte[0])
                .build());
        fleet.runFor(1000);
        addQueue(fleet);
        fleet.runFor(5000);
        assertEquals(state(fleet), new JobAnswer.State(JobState.CANCELLED), fleet.lastEvents());
        assertEquals(fleet.model.activeRunCount(), 0);
    }

    private static ItemId failingItem() {
        return new ItemId(ID, 0, 0, 0);
    }

    private static JobAnswer state(JobFleet fleet) {
        return fleet.leader().jobState(ID).<JobAnswer>map(JobAnswer.State::new).orElse(new JobAnswer.UnknownJob());
    }

    /** Returns a fleet in which a run of a work item has failed after the job's queue was removed. */
    private static JobFleet fleetWithFailureWithoutQueue(int failuresBefore, boolean leaderReplaced) {
        JobFleet fleet = JobFleet.running(3, 3);
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(item.index() == 0 ? FAILING_RUN_MS : 12_000));
        fleet.model.setFailurePolicy((item, run, server) -> item.index() == 0 && run <= failuresBefore + 1);
        fleet.answerAfter(300, fleet.submit(fleet.leader(), ID, JobFleet.step(2, 1000, 1000)));
        for (int i = 0; i < 1000 && fleet.model.invariants().failures(failingItem()) < failuresBefore; i++) {
            fleet.runFor(10);
        }
        fleet.runFor(300);
        fleet.configure(List.of(), teams(), pools());
        fleet.runFor(FAILING_RUN_MS + 1500);
        assertEquals(fleet.model.invariants().failures(failingItem()), failuresBefore + 1, fleet.lastEvents());
        if (leaderReplaced) {
            fleet.replaceLeader();
        }
        return fleet;
    }

    private static List<JobTeam> teams() {
        return List.of(new JobTeam("team", Set.of(JobFleet.KEY), 1, new Resources(0, 0, 0)));
    }

    private static List<JobPool> pools() {
        return List.of(new JobPool(JobFleet.POOL, true, false));
    }

    private static void addQueue(JobFleet fleet) {
        JobQueue queue =
                new JobQueue("queue", "host", "/q/", JobFleet.POOL, 3000, 600, 0, MAX_ATTEMPTS, 1.6, false, null);
        fleet.configure(List.of(queue), teams(), pools());
        fleet.runFor(1000);
    }
}

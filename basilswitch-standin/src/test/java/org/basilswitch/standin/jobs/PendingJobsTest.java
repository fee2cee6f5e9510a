package org.basilswitch.standin.jobs;

import java.util.List;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** The number of pending jobs and the state of jobs of which no work item has begun. */
final class PendingJobsTest {
    private static final int JOBS = 10;

    @DataProvider
    public Object[][] leaders() {
        return new Object[][] {{false}, {true}};
    }

    /** Guards against jobs that count as begun because a start was sent that a backend server rejected. */
    @Test(dataProvider = "leaders")
    public void jobsWhoseStartsWereRejectedArePending(boolean leaderReplaced) {
        JobFleet fleet = fleetWithRejectedStarts(leaderReplaced);
        assertPending(fleet, JOBS);
        assertEquals(state(fleet), new JobAnswer.State(JobState.QUEUED));
        setRejecting(fleet, false);
        fleet.runFor(3000);
        assertPending(fleet, 0);
        assertEquals(state(fleet), new JobAnswer.State(JobState.RUNNING));
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    /** Guards against a cancelled job that counts as pending. */
    @Test(dataProvider = "leaders")
    public void cancelledJobIsNotPending(boolean leaderReplaced) {
        JobFleet fleet = fleetWithRejectedStarts(leaderReplaced);
        fleet.answerAfter(500, fleet.cancel(fleet.leader(), JobFleet.id(1)));
        assertPending(fleet, JOBS - 1);
    }

    /** Guards against jobs that are pending again after their runs were lost, also to a new leader. */
    @Test(dataProvider = "leaders")
    public void jobsWhoseRunsWereLostAreNotPending(boolean leaderReplaced) {
        JobFleet fleet = JobFleet.running(3, 2);
        submitAll(fleet);
        assertPending(fleet, 0);
        setRejecting(fleet, true);
        fleet.model.restart("s0");
        fleet.model.restart("s1");
        fleet.runFor(8000);
        assertEquals(fleet.model.activeRunCount(), 0);
        replaceLeader(fleet, leaderReplaced);
        assertPending(fleet, 0);
    }

    /** Guards against running jobs that a new leader counts as pending until their servers report. */
    @Test
    public void runningJobsAreNotPendingWhileTheirServersAreSilent() {
        JobFleet fleet = JobFleet.running(3, 2);
        submitAll(fleet);
        fleet.model.setUnreachable("s0", true);
        fleet.model.setUnreachable("s1", true);
        JobNode killed = fleet.leader();
        fleet.killProcess(killed);
        for (int i = 0; i < 500 && !hasLeaderOtherThan(fleet, killed); i++) {
            fleet.runFor(10);
        }
        fleet.runFor(100);
        assertPending(fleet, 0);
    }

    private static boolean hasLeaderOtherThan(JobFleet fleet, JobNode former) {
        return fleet.nodes.stream()
                .anyMatch(node -> node != former && node.scheduler().isPresent());
    }

    private static JobFleet fleetWithRejectedStarts(boolean leaderReplaced) {
        JobFleet fleet = JobFleet.running(3, 2);
        setRejecting(fleet, true);
        submitAll(fleet);
        fleet.runFor(6000);
        assertEquals(fleet.model.invariants().startCount(), 0);
        replaceLeader(fleet, leaderReplaced);
        return fleet;
    }

    private static void submitAll(JobFleet fleet) {
        for (int i = 1; i <= JOBS; i++) {
            fleet.answerAfter(50, fleet.submit(fleet.nodes.get(0), JobFleet.id(i), JobFleet.step(2, 3000, 60_000)));
        }
    }

    private static void setRejecting(JobFleet fleet, boolean rejecting) {
        fleet.model.setRejecting("s0", rejecting);
        fleet.model.setRejecting("s1", rejecting);
    }

    private static void replaceLeader(JobFleet fleet, boolean replaced) {
        if (replaced) {
            fleet.replaceLeader();
        }
    }

    /** Asserts what every entry host tells of the number of pending jobs. */
    private static void assertPending(JobFleet fleet, long expected) {
        for (int i = 0; i < 2; i++) {
            JobNode node = fleet.readyNode(i);
            JobCall call = JobFleet.call("", new JobCall.Query());
            assertEquals(
                    fleet.answerAfter(100, node.service().answer(call)),
                    new JobAnswer.Pending(expected),
                    fleet.lastEvents());
        }
    }

    private static JobAnswer state(JobFleet fleet) {
        return fleet.answerAfter(100, fleet.query(fleet.leader(), JobFleet.id(1)));
    }
}

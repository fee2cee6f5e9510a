package org.basilswitch.standin.jobs;

import java.util.List;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.store.MemoryStoreClient.CommitFault;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Ended jobs around the deletion of their records: none runs again, and none that is submitted again is lost. */
final class EndedJobRecordsTest {
    private static final String ID = JobFleet.id(1);
    private static final String ACCEPTED_KEY = "/basilswitch/test/jobs/accepted/" + ID;
    /** Retention of the records of ended jobs in a {@link JobFleet}, ms. */
    private static final long RETENTION_MS = 240_000;

    /** Outage during which the retention ends, ms. */
    private static final long OUTAGE_MS = 8000;

    /** Final states, and whether the leader is replaced. */
    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {JobState.COMPLETED, false},
            {JobState.COMPLETED, true},
            {JobState.FAILED, false},
            {JobState.FAILED, true},
            {JobState.CANCELLED, false},
            {JobState.CANCELLED, true},
        };
    }

    /** Guards against a second run of an ended job after its deletion was refused and the jobs are read again. */
    @Test(dataProvider = "ends")
    public void jobDoesNotRunAgainAfterRefusedDeletion(JobState end, boolean leaderKilled) {
        JobFleet fleet = fleetWithEndedJob(end);
        int starts = fleet.model.invariants().startCount();
        fleet.runFor(RETENTION_MS - 6000);
        setCommitFault(fleet, CommitFault.REFUSED);
        fleet.runFor(OUTAGE_MS);
        readJobsAgain(fleet);
        assertEquals(fleet.answerAfter(500, fleet.query(fleet.readyNode(0), ID)), new JobAnswer.State(end));
        setCommitFault(fleet, CommitFault.NONE);
        if (leaderKilled) {
            fleet.replaceLeader();
        }
        readJobsAgain(fleet);
        fleet.runFor(RETENTION_MS + 5000);
        assertEquals(fleet.model.invariants().startCount(), starts, fleet.lastEvents());
        assertEquals(fleet.store.range("/basilswitch/test/jobs/ended/").entries(), List.of());
        assertEquals(fleet.answerAfter(500, fleet.query(fleet.readyNode(0), ID)), new JobAnswer.UnknownJob());
    }

    /** Guards against the deletion or neglect of a job that is submitted again after a deletion without an answer. */
    @Test
    public void jobSubmittedAgainAfterUnansweredDeletionIsRun() {
        JobFleet fleet = fleetWithEndedJob(JobState.COMPLETED);
        int starts = fleet.model.invariants().startCount();
        JobNode leader = fleet.leader();
        JobNode other = fleet.nodes.get(1 - fleet.nodes.indexOf(leader));
        fleet.runFor(RETENTION_MS - 6000);
        fleet.clients.get(fleet.nodes.indexOf(leader)).setCommitFault(CommitFault.ANSWER_LOST);
        while (fleet.store.get(ACCEPTED_KEY).isPresent()) {
            fleet.runFor(50);
        }
        fleet.runFor(200);
        assertEquals(
                fleet.answerAfter(200, fleet.submit(other, ID, JobFleet.step(2, 1000, 100))), new JobAnswer.Accepted());
        fleet.runFor(5000);
        fleet.clients.get(fleet.nodes.indexOf(leader)).setCommitFault(CommitFault.NONE);
        fleet.runFor(5000);
        assertEquals(fleet.model.invariants().startCount(), starts + 2, fleet.lastEvents());
        assertEquals(fleet.answerAfter(500, fleet.query(other, ID)), new JobAnswer.State(JobState.COMPLETED));
    }

    /** Guards against a run of a deleted job that a read from before the deletion reports, also to a new leader. */
    @Test(dataProvider = "ends")
    public void lateReportOfDeletedJobStartsNothing(JobState end, boolean leaderKilled) {
        JobFleet fleet = fleetWithEndedJob(end);
        int starts = fleet.model.invariants().startCount();
        PlatformStore.Entry accepted = fleet.store.get(ACCEPTED_KEY).orElseThrow();
        JobSubmission submission =
                RecordCodec.decode(accepted.value(), JobSubmission.class).orElseThrow();
        fleet.runFor(RETENTION_MS + 5000);
        if (leaderKilled) {
            fleet.replaceLeader();
        }
        fleet.leader().onAccepted(submission, accepted.modRevision());
        fleet.runFor(5000);
        assertEquals(fleet.model.invariants().startCount(), starts, fleet.lastEvents());
        assertEquals(fleet.leader().jobState(ID).isPresent(), false, fleet.lastEvents());
    }

    private static JobFleet fleetWithEndedJob(JobState end) {
        JobFleet fleet = JobFleet.running(2, 2);
        fleet.model.setFailurePolicy((item, run, server) -> end == JobState.FAILED);
        fleet.answerAfter(300, fleet.submit(fleet.nodes.get(0), ID, JobFleet.step(2, 1000, 1000)));
        if (end == JobState.CANCELLED) {
            fleet.answerAfter(100, fleet.cancel(fleet.nodes.get(0), ID));
        }
        fleet.runFor(5000);
        assertEquals(fleet.answerAfter(500, fleet.query(fleet.nodes.get(0), ID)), new JobAnswer.State(end));
        fleet.model.setFailurePolicy((item, run, server) -> false);
        return fleet;
    }

    private static void setCommitFault(JobFleet fleet, CommitFault fault) {
        fleet.clients.forEach(client -> client.setCommitFault(fault));
    }

    /** Has every entry host read all jobs again, as after a loss of the store's history. */
    private static void readJobsAgain(JobFleet fleet) {
        fleet.nodes.forEach(node -> fleet.clients.get(fleet.nodes.indexOf(node)).setReachable(false));
        fleet.runFor(100);
        fleet.store.commit(
                Transaction.builder().put("unrelated", new byte[] {1}).build());
        fleet.store.compact(fleet.store.revision());
        fleet.clients.forEach(client -> client.setReachable(true));
        fleet.runFor(1000);
    }
}

package org.basilswitch.standin.jobs;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.store.MemoryStoreClient.CommitFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Calls whose write got no answer of the store and that a later attempt rejects. */
final class UndecidedWriteTest {
    private static final String ID = JobFleet.id(1);

    /** What makes the later attempt reject the call. */
    private enum Rejection {
        KEY_WITHDRAWN(new JobAnswer.UnknownKey()),
        QUEUE_REMOVED(new JobAnswer.UnknownQueue());

        private final JobAnswer answer;

        Rejection(JobAnswer answer) {
            this.answer = answer;
        }

        private void apply(JobFleet fleet) {
            switch (this) {
                case KEY_WITHDRAWN -> fleet.revokeKeys();
                case QUEUE_REMOVED ->
                    fleet.configure(
                            List.of(),
                            List.of(new JobTeam("team", Set.of(JobFleet.KEY), 1, new Resources(0, 0, 0))),
                            List.of(new JobPool(JobFleet.POOL, true, false)));
            }
        }
    }

    /** What becomes of the leader that answers the later attempt. */
    private enum Leader {
        ANSWERS,
        KILLED,
        REFUSED_BY_STORE
    }

    @DataProvider
    public Object[][] rejections() {
        Object[][] rows = new Object[Rejection.values().length * Leader.values().length][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {
                Rejection.values()[i / Leader.values().length], Leader.values()[i % Leader.values().length]
            };
        }
        return rows;
    }

    /** Guards against 401 or 404 for a job that is stored and runs. */
    @Test(dataProvider = "rejections")
    public void storedJobIsAcceptedThoughLaterAttemptIsRejected(Rejection rejection, Leader leader) {
        JobFleet fleet = JobFleet.running(3, 2);
        JobAnswer answer = fleet.answerAfter(
                3000, startCall(fleet, rejection, leader, CommitFault.ANSWER_LOST, submission(fleet)));
        assertEquals(answer, new JobAnswer.Accepted(), fleet.lastEvents());
        fleet.runFor(10_000);
        assertEquals(fleet.model.invariants().startCount(), 2);
    }

    /** Guards against an undecided answer where the configuration rules out that the job can still be stored. */
    @Test(dataProvider = "rejections")
    public void jobThatCanNotBeStoredAnyMoreIsRejected(Rejection rejection, Leader leader) {
        JobFleet fleet = JobFleet.running(3, 2);
        JobAnswer answer = fleet.answerAfter(
                3000, startCall(fleet, rejection, leader, CommitFault.REQUEST_LOST, submission(fleet)));
        assertEquals(answer, rejection.answer, fleet.lastEvents());
        fleet.runFor(10_000);
        assertEquals(fleet.model.invariants().startCount(), 0);
    }

    /** Guards against a rejection by a host that can't read whether its own write has taken effect. */
    @Test(dataProvider = "rejections")
    public void jobIsUndecidedWhileItsRecordCanNotBeRead(Rejection rejection, Leader leader) {
        JobFleet fleet = JobFleet.running(3, 2);
        int follower = follower(fleet);
        CompletionStage<JobAnswer> call =
                startCall(fleet, rejection, leader, CommitFault.REQUEST_LOST, submission(fleet));
        fleet.clients.get(follower).setReachable(false);
        JobAnswer answer = fleet.answerAfter(3000, call);
        assertTrue(answer instanceof JobAnswer.Undecided, answer + "\n" + fleet.lastEvents());
    }

    /** Guards against 401 or 404 for a cancellation that is stored. */
    @Test(dataProvider = "rejections")
    public void storedCancellationIsConfirmedThoughLaterAttemptIsRejected(Rejection rejection, Leader leader) {
        JobFleet fleet = fleetWithJob();
        JobAnswer answer = fleet.answerAfter(
                3000, startCall(fleet, rejection, leader, CommitFault.ANSWER_LOST, cancellation(fleet)));
        assertEquals(answer, new JobAnswer.Cancelled(), fleet.lastEvents());
    }

    /** Guards against a rejection of a cancellation that the store may still carry out. */
    @Test(dataProvider = "rejections")
    public void cancellationThatMayBeCarriedOutLaterIsUndecided(Rejection rejection, Leader leader) {
        JobFleet fleet = fleetWithJob();
        JobAnswer answer = fleet.answerAfter(
                3000, startCall(fleet, rejection, leader, CommitFault.REQUEST_LOST, cancellation(fleet)));
        assertTrue(answer instanceof JobAnswer.Undecided, answer + "\n" + fleet.lastEvents());
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.RUNNING);
    }

    private static JobFleet fleetWithJob() {
        JobFleet fleet = JobFleet.running(3, 2);
        assertEquals(fleet.answerAfter(300, submission(fleet).apply(fleet.leader())), new JobAnswer.Accepted());
        return fleet;
    }

    private static Function<JobNode, CompletionStage<JobAnswer>> submission(JobFleet fleet) {
        return host -> fleet.submit(host, ID, JobFleet.step(2, 1000, 8000));
    }

    private static Function<JobNode, CompletionStage<JobAnswer>> cancellation(JobFleet fleet) {
        return host -> fleet.cancel(host, ID);
    }

    /** Returns the number of an entry host that does not lead. */
    private static int follower(JobFleet fleet) {
        return fleet.nodes.get(0) == fleet.leader() ? 1 : 0;
    }

    /** Makes a call at a follower, whose commit gets no answer; the configuration changes before the next attempt. */
    private static CompletionStage<JobAnswer> startCall(
            JobFleet fleet,
            Rejection rejection,
            Leader leader,
            CommitFault fault,
            Function<JobNode, CompletionStage<JobAnswer>> caller) {
        int follower = follower(fleet);
        fleet.clients.get(follower).setCommitFault(fault);
        CompletionStage<JobAnswer> call = caller.apply(fleet.nodes.get(follower));
        fleet.runFor(100);
        rejection.apply(fleet);
        JobNode answering = fleet.leader();
        switch (leader) {
            case ANSWERS -> {}
            case KILLED -> fleet.killProcess(answering);
            case REFUSED_BY_STORE ->
                fleet.clients.get(fleet.nodes.indexOf(answering)).setCommitFault(CommitFault.REFUSED);
        }
        fleet.runFor(700);
        return call;
    }
}

package org.basilswitch.standin.jobs;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.stream.Stream;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
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
        QUEUE_REMOVED(new JobAnswer.UnknownQueue()),
        /** The path no longer ends in an identifier after the queue's prefix. */
        PREFIX_LENGTHENED(new JobAnswer.Invalid("a job's identifier has 16 hexadecimal digits")),
        /** The configuration stays, and the later attempt is refused if at all. */
        NONE(new JobAnswer.Undecided("no answer of the store in time"));

        private final JobAnswer answer;

        Rejection(JobAnswer answer) {
            this.answer = answer;
        }

        private void apply(JobFleet fleet) {
            switch (this) {
                case KEY_WITHDRAWN -> fleet.revokeKeys();
                case QUEUE_REMOVED -> configureQueues(fleet, List.of());
                case PREFIX_LENGTHENED ->
                    configureQueues(
                            fleet,
                            List.of(new JobQueue(
                                    "queue", "host", "/q/0", JobFleet.POOL, 3000, 600, 0, 3, 1.6, false, null)));
                case NONE -> {}
            }
        }

        private static void configureQueues(JobFleet fleet, List<JobQueue> queues) {
            fleet.configure(
                    queues,
                    List.of(new JobTeam("team", Set.of(JobFleet.KEY), 1, new Resources(0, 0, 0))),
                    List.of(new JobPool(JobFleet.POOL, true, false)));
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
        return withEachLeader(Rejection.KEY_WITHDRAWN, Rejection.QUEUE_REMOVED, Rejection.PREFIX_LENGTHENED);
    }

    /** Rejections after which the configuration does not admit the call any more. */
    @DataProvider
    public Object[][] lostAdmissions() {
        return withEachLeader(Rejection.KEY_WITHDRAWN, Rejection.QUEUE_REMOVED);
    }

    private static Object[][] withEachLeader(Rejection... rejections) {
        return Stream.of(rejections)
                .flatMap(rejection -> Stream.of(Leader.values()).map(leader -> new Object[] {rejection, leader}))
                .toArray(Object[][]::new);
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
    @Test(dataProvider = "lostAdmissions")
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

    /** Guards against a refusal, which says that nothing was stored, of a call whose write may have taken effect. */
    @Test
    public void refusalByLeaderLeavesCallsUndecided() {
        JobFleet fleet = JobFleet.running(3, 2);
        JobAnswer submitted = fleet.answerAfter(
                3000,
                startCall(fleet, Rejection.NONE, Leader.REFUSED_BY_STORE, CommitFault.REQUEST_LOST, submission(fleet)));
        assertTrue(submitted instanceof JobAnswer.Undecided, submitted + "\n" + fleet.lastEvents());
        fleet = fleetWithJob();
        JobAnswer cancelled = fleet.answerAfter(
                3000,
                startCall(
                        fleet, Rejection.NONE, Leader.REFUSED_BY_STORE, CommitFault.REQUEST_LOST, cancellation(fleet)));
        assertTrue(cancelled instanceof JobAnswer.Undecided, cancelled + "\n" + fleet.lastEvents());
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

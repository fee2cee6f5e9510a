package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.intake.ForwardedAnswer;
import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class JobIntakeTest {

    private static JobFleet fleet() {
        JobFleet fleet = new JobFleet();
        fleet.addServers(2);
        fleet.addNode();
        fleet.addNode();
        fleet.runFor(2000);
        return fleet;
    }

    private static JobCall call(String host, String path, String key, JobCall.Action action) {
        return new JobCall(host, path, Optional.ofNullable(key), Duration.ofSeconds(3), action);
    }

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {"other", "/q/" + JobFleet.id(1), JobFleet.KEY, new JobAnswer.UnknownQueue()},
            {"host", "/other/" + JobFleet.id(1), JobFleet.KEY, new JobAnswer.UnknownQueue()},
            {"host", "/q/" + JobFleet.id(1), null, new JobAnswer.UnknownKey()},
            {"host", "/q/" + JobFleet.id(1), "wrong", new JobAnswer.UnknownKey()},
            {"host", "/q/" + JobFleet.id(1), JobFleet.KEY, new JobAnswer.UnknownJob()},
            {"host", "/q/", JobFleet.KEY, new JobAnswer.Pending(0)},
        };
    }

    @Test(dataProvider = "calls")
    public void callIsAnsweredByQueueKeyAndJob(String host, String path, String key, JobAnswer expected) {
        JobFleet fleet = fleet();
        JobCall query = call(host, path, key, new JobCall.Query());
        assertEquals(fleet.answerAfter(500, fleet.nodes.get(0).service().answer(query)), expected);
    }

    /** Load pattern: the store is unreachable for some entry hosts and serves the others. */
    @Test
    public void callsAtHostWithoutStoreAreAnsweredByTheLeader() {
        JobFleet fleet = new JobFleet();
        fleet.addServers(2);
        for (int i = 0; i < 3; i++) {
            fleet.addNode();
        }
        fleet.runFor(2000);
        JobNode cutOff = fleet.nodes.stream()
                .filter(node -> node != fleet.leader())
                .findFirst()
                .orElseThrow();
        fleet.clients.get(fleet.nodes.indexOf(cutOff)).setReachable(false);
        String id = JobFleet.id(1);
        assertEquals(
                fleet.answerAfter(1100, fleet.submit(cutOff, id, JobFleet.step(1, 1000, 5000))),
                new JobAnswer.Accepted());
        assertEquals(fleet.answerAfter(1100, fleet.query(cutOff, id)), new JobAnswer.State(JobState.RUNNING));
        assertEquals(fleet.answerAfter(1100, fleet.cancel(cutOff, id)), new JobAnswer.Cancelled());
        assertEquals(fleet.answerAfter(1100, fleet.query(cutOff, JobFleet.id(2))), new JobAnswer.UnknownJob());
    }

    /**
     * Guards against going back to an older configuration: a host that the store turns away answers by the leader's newer
     * one for what its own does not have, and later by its own for what the newer one has dropped.
     */
    @Test
    public void hostWithoutStoreDoesNotGoBackToOlderConfiguration() {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode cutOff = fleet.nodes.stream()
                .filter(node -> node != fleet.leader())
                .findFirst()
                .orElseThrow();
        fleet.clients.get(fleet.nodes.indexOf(cutOff)).setReachable(false);
        JobQueue queue = new JobQueue("added", "host", "/added/", JobFleet.POOL, 3000, 600, 0, 3, 1.6, false, null);
        fleet.configure(
                List.of(queue),
                List.of(new JobTeam("team", Set.of(JobFleet.KEY), 1, new Resources(0, 0, 0))),
                List.of(new JobPool(JobFleet.POOL, true, false)));
        fleet.runFor(2000);
        JobCall added = call("host", "/added/" + JobFleet.id(1), JobFleet.KEY, new JobCall.Query());
        assertEquals(fleet.answerAfter(1000, cutOff.service().answer(added)), new JobAnswer.UnknownJob());
        JobCall dropped = call("host", "/q/", JobFleet.KEY, new JobCall.Query());
        assertEquals(fleet.answerAfter(1000, cutOff.service().answer(dropped)), new JobAnswer.UnknownQueue());
    }

    @Test
    public void identifierOfWrongLengthIsInvalid() {
        JobFleet fleet = fleet();
        JobCall call = call("host", "/q/abc", JobFleet.KEY, new JobCall.Cancel());
        JobAnswer answer = fleet.answerAfter(500, fleet.nodes.get(0).service().answer(call));
        assertTrue(answer instanceof JobAnswer.Invalid, "" + answer);
    }

    @Test
    public void recentlyRevokedKeyIsRejected() {
        JobFleet fleet = fleet();
        fleet.revokeKeys();
        CompletionStage<JobAnswer> answer =
                fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(1, 1000, 100));
        assertEquals(fleet.answerAfter(500, answer), new JobAnswer.UnknownKey());
        fleet.runFor(3000);
        assertEquals(fleet.model.invariants().startCount(), 0);
    }

    @Test
    public void revokedKeyIsRefusedAtHostCutOffBeyondTheKeyAge() {
        JobFleet fleet = fleet();
        fleet.answerAfter(200, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(1, 1000, 100)));
        fleet.clients.get(0).setReachable(false);
        fleet.runFor(100);
        fleet.revokeKeys();
        fleet.runFor(5000);
        JobAnswer answer = fleet.answerAfter(3000, fleet.query(fleet.nodes.get(0), JobFleet.id(1)));
        assertTrue(answer instanceof JobAnswer.Refused, "" + answer);
    }

    @DataProvider
    public Object[][] configurationChanges() {
        return new Object[][] {{true, true}, {true, false}, {false, true}, {false, false}};
    }

    /**
     * Guards against success for a key withdrawn before, at a host that knows the job and is cut off from the store; the
     * answer may be a refusal or a rejection, but not that the job is not stored while the host can't know.
     */
    @Test(dataProvider = "configurationChanges")
    public void repeatedSubmissionAtHostCutOffBeyondTheKeyAge(boolean keyWithdrawn, boolean leaderAnswers) {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode host = fleet.nodes.stream()
                .filter(node -> node != fleet.leader())
                .findFirst()
                .orElseThrow();
        String id = JobFleet.id(1);
        assertEquals(
                fleet.answerAfter(300, fleet.submit(host, id, JobFleet.step(1, 1000, 60_000))),
                new JobAnswer.Accepted());
        fleet.clients.get(fleet.nodes.indexOf(host)).setReachable(false);
        fleet.runFor(100);
        if (keyWithdrawn) {
            fleet.revokeKeys();
        }
        fleet.runFor(5500);
        if (!leaderAnswers) {
            fleet.killProcess(fleet.leader());
        }
        JobAnswer answer = fleet.answerAfter(3000, fleet.submit(host, id, JobFleet.step(1, 1000, 60_000)));
        if (!leaderAnswers) {
            assertTrue(answer instanceof JobAnswer.Undecided, answer + "\n" + fleet.lastEvents());
        } else {
            assertEquals(answer, keyWithdrawn ? new JobAnswer.UnknownKey() : new JobAnswer.Accepted());
        }
    }

    /** Guards against success for a withdrawn key where the store finds the job and another configuration. */
    @Test
    public void repeatedSubmissionWithWithdrawnKeyIsRejectedByHostThatDoesNotKnowTheJob() {
        JobFleet fleet = JobFleet.running(2, 2);
        JobNode host = fleet.nodes.get(0);
        JobSubmission stored = new JobSubmission(
                JobFleet.id(1), "queue", "team", "spec", List.of(JobFleet.step(1, 1000, 100)), null, 0);
        fleet.revokeKeys();
        fleet.store.commit(Transaction.builder()
                .put("/basilswitch/test/jobs/accepted/" + stored.id(), RecordCodec.encode(stored))
                .build());
        JobAnswer answer = fleet.answerAfter(500, fleet.submit(host, stored.id(), JobFleet.step(1, 1000, 100)));
        assertEquals(answer, new JobAnswer.UnknownKey());
    }

    @Test
    public void hostWithoutConfirmedConfigurationIsNotReady() {
        JobFleet fleet = fleet();
        JobNode node = fleet.nodes.get(0);
        assertTrue(node.isReady());
        fleet.clients.get(0).setReachable(false);
        fleet.runFor(4000);
        assertEquals(node.isReady(), false);
        fleet.clients.get(0).setReachable(true);
        fleet.runFor(1500);
        assertTrue(node.isReady());
    }

    @Test
    public void lostCommitAnswerIsUndecidedNotRefused() {
        JobFleet fleet = fleet();
        int follower = 1 - fleet.nodes.indexOf(fleet.leader());
        fleet.clients.get(follower).setLostAnswerRatio(1);
        JobCall.Submit submit = new JobCall.Submit("spec", List.of(JobFleet.step(1, 1000, 100)), Optional.empty());
        fleet.model.registerJob(new JobSubmission(JobFleet.id(1), "queue", "team", "spec", submit.steps(), null, 0));
        // A host that answers for another host does not forward the call again.
        JobAnswer answer = fleet.answerAfter(
                3000,
                fleet.nodes
                        .get(follower)
                        .answerPeer(JobFleet.call(JobFleet.id(1), submit))
                        .thenApply(ForwardedAnswer::answer));
        assertTrue(answer instanceof JobAnswer.Undecided, "" + answer);
        JobAnswer state = fleet.answerAfter(500, fleet.query(fleet.leader(), JobFleet.id(1)));
        assertEquals(state, new JobAnswer.State(JobState.COMPLETED), String.join("\n", fleet.events));
    }

    @Test
    public void leaderConfirmsStoredJobWhoseCommitAnswerWasLost() {
        JobFleet fleet = fleet();
        int follower = 1 - fleet.nodes.indexOf(fleet.leader());
        fleet.clients.get(follower).setLostAnswerRatio(1);
        JobAnswer answer = fleet.answerAfter(
                3000, fleet.submit(fleet.nodes.get(follower), JobFleet.id(1), JobFleet.step(1, 1000, 100)));
        assertEquals(answer, new JobAnswer.Accepted());
        JobAnswer state = fleet.answerAfter(500, fleet.query(fleet.leader(), JobFleet.id(1)));
        assertEquals(state, new JobAnswer.State(JobState.COMPLETED), String.join("\n", fleet.events));
    }

    @Test
    public void unreachableStoreRefusesJobWithRetryAfter() {
        JobFleet fleet = fleet();
        fleet.clients.get(0).setReachable(false);
        JobAnswer answer =
                fleet.answerAfter(3000, fleet.submit(fleet.nodes.get(0), JobFleet.id(1), JobFleet.step(1, 1000, 100)));
        assertTrue(
                answer instanceof JobAnswer.Refused refused
                        && !refused.retryAfter().isZero(),
                "" + answer);
        assertEquals(fleet.model.invariants().startCount(), 0);
    }

    @Test
    public void recentlyAddedQueueIsFound() {
        JobFleet fleet = fleet();
        fleet.configure(new Resources(0, 0, 0), 3);
        fleet.addQueue("/new/");
        fleet.runFor(300);
        JobCall call = call("host", "/new/", JobFleet.KEY, new JobCall.Query());
        assertEquals(fleet.answerAfter(100, fleet.nodes.get(0).service().answer(call)), new JobAnswer.Pending(0));
    }

    @Test
    public void pendingCountsJobsThatHaveNotStarted() {
        JobFleet fleet = fleet();
        for (int i = 1; i <= 30; i++) {
            fleet.submit(fleet.nodes.get(0), JobFleet.id(i), JobFleet.step(8, 8000, 3000));
        }
        fleet.runFor(300);
        JobCall call = call("host", "/q/", JobFleet.KEY, new JobCall.Query());
        JobAnswer answer = fleet.answerAfter(300, fleet.nodes.get(1).service().answer(call));
        assertEquals(answer, new JobAnswer.Pending(28));
        assertEquals(fleet.model.invariants().violations(), List.of());
    }
}

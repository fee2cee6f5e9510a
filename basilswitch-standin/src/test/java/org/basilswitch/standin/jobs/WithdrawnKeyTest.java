package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.JobState;
import org.basilswitch.job.StepSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Calls at an entry host without the store, later than a key may work after its withdrawal. */
final class WithdrawnKeyTest {
    private static final String ID = JobFleet.id(1);
    private static final String NEW_ID = JobFleet.id(2);
    private static final StepSpec STEP = JobFleet.step(2, 1000, 60_000);
    /** Time within which a withdrawn key has to stop working, and a little more. */
    private static final long AFTER_WITHDRAWAL_MS = 5600;

    /** How the store treats the entry host. */
    private enum StoreFault {
        SILENT,
        REFUSING;

        private void apply(JobFleet fleet, int host, boolean faulty) {
            switch (this) {
                case SILENT -> fleet.clients.get(host).setSilent(faulty);
                case REFUSING -> fleet.clients.get(host).setReachable(!faulty);
            }
        }
    }

    private enum Leader {
        ANSWERS,
        ANSWER_LOST,
        KILLED,
        CUT_OFF_AS_WELL
    }

    private enum Key {
        WITHDRAWN,
        MOVED,
        KEPT
    }

    private enum Call {
        SUBMIT_AGAIN(new JobAnswer.Accepted()),
        SUBMIT_NEW(new JobAnswer.Accepted()),
        QUERY(new JobAnswer.State(JobState.RUNNING)),
        CANCEL(new JobAnswer.Cancelled());

        private final JobAnswer success;

        Call(JobAnswer success) {
            this.success = success;
        }

        private CompletionStage<JobAnswer> send(JobFleet fleet, JobNode host) {
            return switch (this) {
                case SUBMIT_AGAIN -> fleet.submit(host, ID, STEP);
                case SUBMIT_NEW -> fleet.submit(host, NEW_ID, STEP);
                case QUERY -> fleet.query(host, ID);
                case CANCEL -> fleet.cancel(host, ID);
            };
        }
    }

    @DataProvider
    public Object[][] calls() {
        List<Object[]> rows = new ArrayList<>();
        for (Call call : Call.values()) {
            for (StoreFault fault : StoreFault.values()) {
                for (Leader leader : Leader.values()) {
                    for (Key key : Key.values()) {
                        rows.add(new Object[] {call, fault, leader, key});
                    }
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * Guards against success for a withdrawn key, which the host was told by the leader's word on a job that another host
     * had stored, and against a rejection of a key that is valid.
     */
    @Test(dataProvider = "calls")
    public void keyIsTrustedByNewConfigurationOnly(Call call, StoreFault fault, Leader leader, Key key) {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode host = follower(fleet);
        int number = fleet.nodes.indexOf(host);
        fault.apply(fleet, number, true);
        fleet.runFor(500);
        assertEquals(fleet.answerAfter(300, fleet.submit(fleet.leader(), ID, STEP)), new JobAnswer.Accepted());
        changeKey(fleet, key);
        fleet.runFor(AFTER_WITHDRAWAL_MS);
        changeLeader(fleet, fault, leader);
        JobAnswer answer = fleet.answerAfter(3000, call.send(fleet, host));
        if (key == Key.WITHDRAWN) {
            assertFalse(call.success.equals(answer), answer + "\n" + fleet.lastEvents());
        } else {
            assertFalse(answer instanceof JobAnswer.UnknownKey, fleet.lastEvents());
        }
        if (leader == Leader.ANSWERS) {
            JobAnswer expected = key == Key.WITHDRAWN ? new JobAnswer.UnknownKey() : call.success;
            assertEquals(answer, expected, fleet.lastEvents());
        }
        fault.apply(fleet, number, false);
        fleet.runFor(15_000);
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    @DataProvider
    public Object[][] callsAtFormerLeader() {
        List<Object[]> rows = new ArrayList<>();
        for (Call call : Call.values()) {
            for (StoreFault fault : StoreFault.values()) {
                for (Key key : Key.values()) {
                    rows.add(new Object[] {call, fault, key});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** The same at the former leader, which the store serves no longer while another host leads. */
    @Test(dataProvider = "callsAtFormerLeader")
    public void formerLeaderTrustsKeyByNewConfigurationOnly(Call call, StoreFault fault, Key key) {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode host = fleet.leader();
        assertEquals(fleet.answerAfter(300, fleet.submit(host, ID, STEP)), new JobAnswer.Accepted());
        fault.apply(fleet, fleet.nodes.indexOf(host), true);
        fleet.runFor(500);
        changeKey(fleet, key);
        fleet.runFor(AFTER_WITHDRAWAL_MS);
        JobAnswer answer = fleet.answerAfter(3000, call.send(fleet, host));
        if (key == Key.WITHDRAWN) {
            assertFalse(call.success.equals(answer), answer + "\n" + fleet.lastEvents());
        } else {
            assertFalse(answer instanceof JobAnswer.UnknownKey, fleet.lastEvents());
        }
    }

    private static JobNode follower(JobFleet fleet) {
        return fleet.nodes.stream()
                .filter(node -> node != fleet.leader())
                .findFirst()
                .orElseThrow();
    }

    private static void changeKey(JobFleet fleet, Key key) {
        switch (key) {
            case WITHDRAWN -> fleet.revokeKeys();
            case MOVED -> fleet.moveKeyToOtherTeam();
            case KEPT -> {}
        }
    }

    private static void changeLeader(JobFleet fleet, StoreFault fault, Leader leader) {
        switch (leader) {
            case ANSWERS -> {}
            case ANSWER_LOST -> fleet.forwardedAnswersLost = true;
            case KILLED -> fleet.killProcess(fleet.leader());
            case CUT_OFF_AS_WELL -> fault.apply(fleet, fleet.nodes.indexOf(fleet.leader()), true);
        }
    }

    /** Guards against success for a withdrawn key at a host that the store serves again while it decides the call. */
    @Test
    public void withdrawnKeyIsNotAcceptedWhenStoreReturnsDuringCall() {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode host = follower(fleet);
        int number = fleet.nodes.indexOf(host);
        fleet.clients.get(number).setSilent(true);
        fleet.runFor(500);
        fleet.answerAfter(300, fleet.submit(fleet.leader(), ID, STEP));
        fleet.revokeKeys();
        fleet.runFor(AFTER_WITHDRAWAL_MS);
        fleet.forwardedAnswersLost = true;
        CompletionStage<JobAnswer> answer = fleet.submit(host, ID, STEP);
        fleet.clients.get(number).setSilent(false);
        assertFalse(new JobAnswer.Accepted().equals(fleet.answerAfter(3000, answer)), fleet.lastEvents());
    }

    /** Guards against a rejection for a job that was stored for this call, as the key is withdrawn just after that. */
    @Test
    public void submissionWithLostAnswerIsAcceptedThoughKeyIsWithdrawnMeanwhile() {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode host = follower(fleet);
        int number = fleet.nodes.indexOf(host);
        CompletionStage<JobAnswer> answer = fleet.submit(host, ID, STEP);
        // The commit has reached the store, and its answer and all later calls are lost.
        fleet.runFor(1);
        fleet.clients.get(number).setReachable(false);
        fleet.revokeKeys();
        fleet.runFor(5);
        fleet.clients.get(number).setReachable(true);
        fleet.clients.get(number).setSilent(true);
        assertEquals(fleet.answerAfter(3000, answer), new JobAnswer.Accepted(), fleet.lastEvents());
    }

    /** The number of waiting jobs is told to valid keys only. */
    @Test
    public void pendingJobsAreNotToldToWithdrawnKey() {
        JobFleet fleet = JobFleet.running(3, 2);
        JobNode host = follower(fleet);
        fleet.clients.get(fleet.nodes.indexOf(host)).setSilent(true);
        fleet.revokeKeys();
        fleet.runFor(AFTER_WITHDRAWAL_MS);
        JobCall call =
                new JobCall("host", "/q/", Optional.of(JobFleet.KEY), Duration.ofSeconds(3), new JobCall.Query());
        JobAnswer answer = fleet.answerAfter(3000, host.service().answer(call));
        assertTrue(answer instanceof JobAnswer.UnknownKey, answer + "\n" + fleet.lastEvents());
    }
}

package org.basilswitch.standin.jobs;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Recurrence;
import org.basilswitch.job.StepSpec;
import org.basilswitch.store.Transaction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Recurring jobs whose stored progress lacks occurrences that have not started. */
final class OccurrenceRecoveryTest {
    private static final String ID = JobFleet.id(1);
    private static final int OCCURRENCES = 5;
    private static final List<StepSpec> STEPS = List.of(JobFleet.step(1, 1000, 200));
    private static final int FILLER_ITEMS = 16;

    /** Occurrences with stored progress, and whether the leader is replaced a second time. */
    @DataProvider
    public Object[][] startedOccurrences() {
        return new Object[][] {
            {List.of(), false},
            {List.of(1), false},
            {List.of(4), false},
            {List.of(0, 2), false},
            {List.of(1, 3), false},
            {List.of(2, 4), true},
            {List.of(0, 1, 4), true},
        };
    }

    /** Guards against an occurrence that never runs because a later one had started before the leader was replaced. */
    @Test(dataProvider = "startedOccurrences")
    public void occurrencesMissingFromProgressRun(List<Integer> started, boolean replacedTwice) {
        JobFleet fleet = fleetWithRecoveredJob(started);
        if (replacedTwice) {
            fleet.replaceLeader();
        }
        fleet.runFor(20_000);
        for (int k = 0; k < OCCURRENCES; k++) {
            boolean ranAfterwards = fleet.model.invariants().isDone(new ItemId(ID, k, 0, 0));
            assertEquals(ranAfterwards, !started.contains(k), "occurrence " + k + "\n" + fleet.lastEvents());
        }
        assertEquals(fleet.model.invariants().startCount(), FILLER_ITEMS + OCCURRENCES - started.size());
        assertEquals(fleet.answerAfter(500, fleet.query(fleet.leader(), ID)), new JobAnswer.State(JobState.COMPLETED));
    }

    /** Guards against starts of missing occurrences after the cancellation of their job. */
    @Test(dataProvider = "startedOccurrences")
    public void occurrencesMissingFromProgressOfCancelledJobDoNotRun(List<Integer> started, boolean replacedTwice) {
        JobFleet fleet = fleetWithRecoveredJob(started);
        assertEquals(fleet.answerAfter(100, fleet.cancel(fleet.leader(), ID)), new JobAnswer.Cancelled());
        if (replacedTwice) {
            fleet.replaceLeader();
        }
        fleet.runFor(20_000);
        assertEquals(fleet.model.invariants().startCount(), FILLER_ITEMS, fleet.lastEvents());
        assertEquals(fleet.answerAfter(500, fleet.query(fleet.leader(), ID)), new JobAnswer.State(JobState.CANCELLED));
    }

    /** Returns a fleet whose new leader has read that only some occurrences of a job have started and are done. */
    private static JobFleet fleetWithRecoveredJob(List<Integer> started) {
        JobFleet fleet = JobFleet.running(3, 2);
        fleet.answerAfter(300, fleet.submit(fleet.leader(), JobFleet.id(2), JobFleet.step(FILLER_ITEMS, 8000, 15_000)));
        Recurrence recurrence = new Recurrence(OCCURRENCES, fleet.time.millis(), 100);
        fleet.model.registerJob(new JobSubmission(ID, "queue", "team", "spec", STEPS, recurrence, 0));
        JobCall.Submit submit = new JobCall.Submit("spec", STEPS, Optional.of(recurrence));
        fleet.answerAfter(1000, fleet.leader().service().answer(JobFleet.call(ID, submit)));
        fleet.killProcess(fleet.leader());
        String rows = IntStream.range(0, OCCURRENCES)
                .filter(started::contains)
                .mapToObj(k -> "[" + k + ",0,0,true,1,0,0,\"\",null,0,0]")
                .collect(Collectors.joining(","));
        byte[] record = ("{\"fence\":1,\"sequence\":1,\"items\":[" + rows + "]}").getBytes(StandardCharsets.UTF_8);
        fleet.store.commit(Transaction.builder()
                .put("/basilswitch/test/progress/" + ID, record)
                .build());
        fleet.runFor(4000);
        return fleet;
    }
}

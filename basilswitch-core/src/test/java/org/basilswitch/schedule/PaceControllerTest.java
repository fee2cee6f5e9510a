package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class PaceControllerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final BackendServer.Incarnation INCARNATION = new BackendServer.Incarnation("s", 1);

    private TrackedServer server;
    private PaceController pace;

    @BeforeMethod
    public void createServer() {
        server = new TrackedServer(INCARNATION, Optional.empty(), 1, Duration.ofSeconds(10));
        pace = new PaceController();
    }

    private static StepSpec step(long tailTargetMs, boolean usesSpareCapacity) {
        return new StepSpec(
                1,
                new Resources(1000, 100, 0),
                0,
                List.of(),
                false,
                false,
                false,
                null,
                null,
                0,
                false,
                true,
                "image",
                tailTargetMs,
                usesSpareCapacity,
                0);
    }

    private Run add(String job, StepSpec spec) {
        return add(job, spec, Run.Phase.RUNNING);
    }

    private Run add(String job, StepSpec spec, Run.Phase phase) {
        ActiveJob active = new ActiveJob(new JobSubmission(job, "q", "", "", List.of(spec), null, 0), 1);
        active.createDueOccurrences(0);
        WorkItem item = active.item(new ItemId(job, 0, 0, 0));
        Run run = item.beginRun(1, INCARNATION, phase);
        server.add(run);
        return run;
    }

    /** Load pattern: long-running serving work beside work that uses spare capacity. */
    @Test
    public void spareCapacityWorkSlowsNearTheTailTargetAndSpeedsUpAfterwards() {
        Run serving = add("a", step(100, false));
        Run spareCapacity = add("b", step(0, true));
        serving.observe(100, 85, 0);
        assertEquals(pace.changes(server, SECOND), List.of(new PaceController.PaceChange(spareCapacity, 50)));
        spareCapacity.setPacePercent(50);
        serving.observe(100, 130, 0);
        assertEquals(pace.changes(server, SECOND + 1000), List.of(), "too soon after the last change");
        assertEquals(pace.changes(server, 2 * SECOND), List.of(new PaceController.PaceChange(spareCapacity, 0)));
        spareCapacity.setPacePercent(0);
        serving.observe(100, 70, 0);
        assertEquals(pace.changes(server, 3 * SECOND), List.of());
        serving.observe(100, 30, 0);
        assertEquals(pace.changes(server, 4 * SECOND), List.of(new PaceController.PaceChange(spareCapacity, 20)));
    }

    @Test
    public void spareCapacityWorkWithoutServingWorkRunsAtFullSpeed() {
        add("a", step(0, true));
        assertEquals(pace.changes(server, SECOND), List.of());
    }

    /** Guards against work that stands still for good after an earlier leader has paused it. */
    @Test
    public void runOfEarlierLeaderIsSetToFullSpeed() {
        Run recovered = add("a", step(0, true), Run.Phase.RECOVERED);
        recovered.setPhase(Run.Phase.RUNNING);
        assertEquals(pace.changes(server, SECOND), List.of(new PaceController.PaceChange(recovered, 100)));
    }

    /** Guards against speeding up work that an earlier leader has slowed down while the tail is near its target. */
    @Test
    public void runOfEarlierLeaderIsPausedNearTheTailTarget() {
        Run serving = add("a", step(100, false));
        Run recovered = add("b", step(0, true), Run.Phase.RECOVERED);
        recovered.setPhase(Run.Phase.RUNNING);
        serving.observe(100, 85, 0);
        assertEquals(pace.changes(server, SECOND), List.of(new PaceController.PaceChange(recovered, 0)));
    }

    /** Guards against recovered work that no longer shows whether its server is slow, as work at a reduced pace does not. */
    @Test
    public void otherRunsOfEarlierLeaderAreAtFullSpeed() {
        assertEquals(add("a", step(100, false), Run.Phase.RECOVERED).pacePercent(), 100);
    }
}

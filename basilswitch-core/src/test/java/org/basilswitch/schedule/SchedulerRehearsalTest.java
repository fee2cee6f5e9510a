package org.basilswitch.schedule;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

final class SchedulerRehearsalTest {
    /** Guards against a rehearsal that exercises nothing, or that does not end. */
    @Test
    public void rehearsalCompletesRunsAndEnds() {
        SchedulerRehearsal rehearsal = SchedulerRehearsal.create();
        int slices = 0;
        while (rehearsal.runFor(Duration.ofMillis(10))) {
            slices++;
            assertTrue(slices < 10_000, "rehearsal goes on after " + slices + " slices");
        }
        assertTrue(rehearsal.completedRuns() > 1000, rehearsal.completedRuns() + " runs");
    }
}

package org.basilswitch.standin.jobs;

import java.util.List;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.Resources;
import org.basilswitch.schedule.ServerCommands.RunEndKind;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Failures of runs of a work item that may have copies, of which each counts once, across a change of leader. */
final class SpeculativeFailureTest {
    private static final String ID = JobFleet.id(1);
    private static final ItemId ITEM = new ItemId(ID, 0, 0, 0);

    /** Guards against a job that fails after one of two attempts, as the next leader counts a copy's failure again. */
    @Test
    public void failureOfCopyIsNotCountedAgainByNextLeader() {
        JobFleet fleet = fleetWithCopy();
        String first = fleet.serverOfFirstOrder();
        fleet.model.setUnreachable(first, false);
        fleet.model.server(first).endRun(ITEM, RunEndKind.FAILED);
        for (int ms = 0; ms < 2000 && !hasFailureCounted(fleet); ms++) {
            fleet.runFor(1);
        }
        assertTrue(hasFailureCounted(fleet), fleet.lastEvents());
        // The failure is stored, and the server reports it again to the next leader, as it is not acknowledged.
        fleet.model.setUnreachable(first, true);
        fleet.runFor(100);
        fleet.replaceLeader();
        fleet.model.setUnreachable(first, false);
        fleet.runFor(3000);
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.RUNNING, fleet.lastEvents());
    }

    /** Guards against an attempt too many: a run that fails after a later one isn't known to the next leader as a copy. */
    @Test
    public void failureOfEarlierRunCountsUnderNextLeader() {
        JobFleet fleet = fleetWithCopy();
        List<String> servers = fleet.serversOfOrders();
        fleet.model.server(servers.get(servers.size() - 1)).endRun(ITEM, RunEndKind.FAILED);
        fleet.runFor(1000);
        assertTrue(hasFailureCounted(fleet), fleet.lastEvents());
        fleet.model.server(servers.get(0)).endRun(ITEM, RunEndKind.FAILED);
        fleet.replaceLeader();
        fleet.model.setUnreachable(servers.get(0), false);
        fleet.runFor(3000);
        assertEquals(fleet.leader().jobState(ID).orElseThrow(), JobState.FAILED, fleet.lastEvents());
    }

    /** Returns a fleet that allows two attempts, in which a copy of a run on a silent server was started. */
    private static JobFleet fleetWithCopy() {
        JobFleet fleet = JobFleet.running(3, 4);
        fleet.configure(new Resources(0, 0, 0), 2);
        fleet.runFor(2000);
        fleet.answerAfter(300, fleet.submit(fleet.leader(), ID, JobFleet.speculative(1, 20_000, 60_000)));
        fleet.model.setUnreachable(fleet.serverOf(ITEM), true);
        fleet.runFor(2500);
        assertTrue(fleet.model.invariants().startCount() > 1, fleet.lastEvents());
        return fleet;
    }

    private static boolean hasFailureCounted(JobFleet fleet) {
        return fleet.events.stream().anyMatch(event -> event.contains(" RUN_FAILED "));
    }
}

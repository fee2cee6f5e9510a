package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.BackendServer;
import org.basilswitch.schedule.ServerCommands;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests when a completed work item may run again: only if its end was discarded, or for a short time if copies are
 * allowed.
 */
final class SchedulerInvariantsTest {
    private static final ItemId ITEM = new ItemId(JobFleet.id(1), 0, 0, 0);
    private static final long LEASE_MS = 4000;

    private final SimulatedTime time = SimulatedTime.create();
    private final FleetModel model = FleetModel.create(time, time);
    private final ServerCommands serverCommands = model.serverCommands();

    /** Creates two servers of which the first has completed the work item. */
    private static SchedulerInvariantsTest withCompletedItem(StepSpec spec) {
        SchedulerInvariantsTest test = new SchedulerInvariantsTest();
        test.model.addServer("s0", "pool", new Resources(64_000, 262_144, 0), "rack");
        test.model.addServer("s1", "pool", new Resources(64_000, 262_144, 0), "rack");
        test.model.registerJob(new JobSubmission(JobFleet.id(1), "queue", "team", "spec", List.of(spec), null, 0));
        test.start("s0", 1);
        test.runFor(1000);
        return test;
    }

    private BackendServer server(String id) {
        return model.server(id).entry();
    }

    private void start(String id, int run) {
        long leaseEndMs = model.server(id).clockMs() + LEASE_MS;
        serverCommands.start(
                server(id), 1, new ServerCommands.StartCommand(ITEM, run, "spec", leaseEndMs, "", Optional.empty()));
    }

    private void acknowledge(String id) {
        serverCommands.renewLease(server(id), 1, new ServerCommands.LeaseRenewal(Optional.empty(), 1, Duration.ZERO));
        runFor(10);
    }

    private void runFor(long ms) {
        time.runFor(Duration.ofMillis(ms));
    }

    private void assertViolations(int number) {
        runFor(100);
        assertEquals(
                model.invariants().violations().size(),
                number,
                model.invariants().violations().toString());
    }

    @Test
    public void rerunBeforeLeaseExpiryIsAViolation() {
        SchedulerInvariantsTest test = withCompletedItem(JobFleet.step(1, 1000, 500));
        test.start("s1", 2);
        test.assertViolations(1);
    }

    @Test
    public void rerunAfterAcknowledgedEndIsAViolationEvenAfterLeaseExpiry() {
        SchedulerInvariantsTest test = withCompletedItem(JobFleet.step(1, 1000, 500));
        test.acknowledge("s0");
        test.runFor(LEASE_MS);
        test.start("s1", 2);
        test.assertViolations(1);
    }

    @Test
    public void rerunAfterUnacknowledgedEndAndLeaseExpiryIsAllowed() {
        SchedulerInvariantsTest test = withCompletedItem(JobFleet.step(1, 1000, 500));
        test.runFor(LEASE_MS);
        test.start("s1", 2);
        test.assertViolations(0);
    }

    @Test
    public void copyBeforeAcknowledgedEndIsAllowed() {
        SchedulerInvariantsTest test = withCompletedItem(JobFleet.speculative(1, 1000, 500));
        test.start("s1", 2);
        test.assertViolations(0);
    }

    @Test
    public void copyLongAfterAcknowledgedEndIsAViolation() {
        SchedulerInvariantsTest test = withCompletedItem(JobFleet.speculative(1, 1000, 500));
        test.acknowledge("s0");
        test.runFor(1100);
        test.start("s1", 2);
        test.assertViolations(1);
    }
}

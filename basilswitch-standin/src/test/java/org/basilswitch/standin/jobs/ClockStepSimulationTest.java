package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.intake.JobNode;
import org.basilswitch.job.ItemId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Draws clock steps, suspensions, lost leaders, cuts and delayed orders from a seed; no work item may run twice at once.
 *
 * <p>The system property {@code clockStepSeeds} sets the number of seeds, which begin at 1.
 */
final class ClockStepSimulationTest {
    private static final int SERVERS = 6;
    private static final int FAULTS = 40;
    private static final long DEFAULT_SEEDS = 8;

    /** Guards against a waiting time that ends early by any mixture of clock steps and other faults. */
    @Test
    public void noWorkItemRunsTwiceUnderClockSteps() {
        assertNoSeedFails(true);
    }

    /** Guards against two runs by the other faults alone, which tells a fault of the clocks from another one. */
    @Test
    public void noWorkItemRunsTwiceWithoutClockSteps() {
        assertNoSeedFails(false);
    }

    private static void assertNoSeedFails(boolean withClockSteps) {
        List<String> failures = new ArrayList<>();
        long seeds = Long.getLong("clockStepSeeds", DEFAULT_SEEDS);
        for (long seed = 1; seed <= seeds; seed++) {
            List<String> violations = run(seed, withClockSteps);
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + ": " + violations.size() + " violations, first: " + violations.get(0));
            }
        }
        assertEquals(
                failures,
                List.of(),
                failures.size() + " of " + seeds + " seeds\n" + String.join("\n", failures) + "\n");
    }

    private static List<String> run(long seed, boolean withClockSteps) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        JobFleet fleet = new JobFleet();
        fleet.addServers(SERVERS);
        for (int i = 0; i < 3; i++) {
            fleet.addNode();
        }
        RandomFaults faults = new RandomFaults(fleet, random, () -> "s" + random.nextInt(SERVERS), withClockSteps);
        fleet.runFor(2000);
        // Some work lasts for longer than the lease, as the load of the incident did.
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(workMs(item)));
        int jobs = 0;
        for (int i = 0; i < FAULTS; i++) {
            for (int k = 0; k < 3; k++) {
                JobNode node = faults.running();
                jobs++;
                fleet.answerAfter(
                        random.nextInt(250),
                        jobs <= 2
                                ? fleet.submit(node, JobFleet.id(jobs), JobFleet.longRunning(4, 3000, 0))
                                : fleet.submit(node, JobFleet.id(jobs), JobFleet.step(2, 3500, 1000)));
            }
            faults.inject();
        }
        fleet.runFor(10_000);
        return fleet.model.invariants().violations();
    }

    private static long workMs(ItemId item) {
        return 300 + Math.floorMod(item.hashCode() * 2_654_435_761L, 5000L);
    }
}

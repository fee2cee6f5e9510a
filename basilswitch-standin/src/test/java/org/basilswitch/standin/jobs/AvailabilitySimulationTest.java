package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.schedule.WaveStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Long-running work beside maintenance waves and faults. */
final class AvailabilitySimulationTest {
    private static final int SERVERS = 8;
    private static final int FAULTS = 40;
    private static final int WAVES = 4;
    /** Number of faults to each restart of a server. */
    private static final int RESTART_INTERVAL = 4;

    private static final long DEFAULT_SEEDS = 8;

    /** Guards against commands that end more items of a long-running step than it allows to be away. */
    @Test
    public void commandsLeaveEnoughItemsAtWork() {
        assertNoViolations(false);
    }

    /** Guards against the same where servers also restart under their identifiers. */
    @Test
    public void commandsLeaveEnoughItemsAtWorkBesideRestarts() {
        assertNoViolations(true);
    }

    private static void assertNoViolations(boolean restarts) {
        List<String> failures = new ArrayList<>();
        long seeds = Long.getLong("availabilitySeeds", DEFAULT_SEEDS);
        for (long seed = Long.getLong("availabilityFirstSeed", 1); seed <= seeds; seed++) {
            JobFleet fleet = run(seed, restarts);
            List<String> violations = fleet.model.invariants().violations();
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + " at " + fleet.time.monotonicNanos() / 1_000_000 + ": " + violations);
            }
        }
        assertEquals(failures, List.of(), failures.size() + " of " + seeds + "\n" + String.join("\n", failures) + "\n");
    }

    private static JobFleet run(long seed, boolean restarts) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        JobFleet fleet = new JobFleet();
        fleet.addServers(SERVERS);
        for (int i = 0; i < 3; i++) {
            fleet.addNode();
        }
        RandomFaults faults = new RandomFaults(fleet, random, () -> anyServer(fleet, random), true);
        fleet.runFor(2000);
        for (int i = 1; i <= 3; i++) {
            fleet.answerAfter(300, fleet.submit(faults.running(), JobFleet.id(i), JobFleet.longRunning(5, 6000, 1)));
        }
        for (int wave = 1; wave <= WAVES; wave++) {
            int first = wave;
            fleet.time.schedule(
                    Duration.ofSeconds(6L * (wave - 1)),
                    () -> fleet.model.addWave(new WaveStore.WaveRequest(
                            first,
                            IntStream.range(0, 5)
                                    .mapToObj(k -> "host-s" + (first + k) % SERVERS)
                                    .toList(),
                            Duration.ofSeconds(26),
                            3,
                            false,
                            false)));
        }
        for (int i = 0; i < FAULTS && fleet.model.invariants().violations().isEmpty(); i++) {
            fleet.runFor(random.nextInt(1500));
            if (restarts && i % RESTART_INTERVAL == 0) {
                fleet.model.restart(anyServer(fleet, random));
            }
            injectFault(fleet, random, faults);
        }
        fleet.runFor(3000);
        return fleet;
    }

    /** Injects a fault of an entry host, of the list of servers or of a renewal. */
    private static void injectFault(JobFleet fleet, UniformRandomProvider random, RandomFaults faults) {
        Duration duration = Duration.ofMillis(200 + random.nextInt(6000));
        switch (random.nextInt(6)) {
            case 0 -> fleet.commandsOf(faults.running()).delayNextRenewal(anyServer(fleet, random), duration);
            case 1 -> {
                fleet.listDelay = Duration.ofMillis(random.nextInt(900));
                fleet.time.schedule(duration, () -> fleet.listDelay = Duration.ZERO);
            }
            default -> faults.inject();
        }
    }

    /** Returns a listed server; its identifier changes when its host is maintained. */
    private static String anyServer(JobFleet fleet, UniformRandomProvider random) {
        List<String> ids = fleet.model.serverIds();
        return ids.get(random.nextInt(ids.size()));
    }
}

package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Servers that restart under their identifiers beside calls that reach the next incarnation late or without an answer,
 * cuts of the same servers soon after, and changes of the leader.
 */
final class ServerRestartSimulationTest {
    private static final int SERVERS = 4;
    private static final int ROUNDS = 30;
    private static final long DEFAULT_SEEDS = 12;

    /** Guards against runs and ends that are mistaken for those of another incarnation of their server. */
    @Test
    public void restartedServersRunEachItemOnce() {
        List<String> failures = new ArrayList<>();
        long seeds = Long.getLong("restartSeeds", DEFAULT_SEEDS);
        for (long seed = Long.getLong("restartFirstSeed", 1); seed <= seeds; seed++) {
            JobFleet fleet = run(seed);
            List<String> violations = fleet.model.invariants().violations();
            if (!violations.isEmpty()) {
                failures.add("seed " + seed + " at " + fleet.time.monotonicNanos() / 1_000_000 + ": " + violations
                        + "\n" + fleet.lastEvents());
            }
        }
        assertEquals(failures, List.of(), failures.size() + " of " + seeds + "\n" + String.join("\n", failures) + "\n");
    }

    private static JobFleet run(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        JobFleet fleet = new JobFleet();
        fleet.addServers(SERVERS);
        for (int i = 0; i < 3; i++) {
            fleet.addNode();
        }
        RandomFaults faults = new RandomFaults(fleet, random, () -> anyServer(fleet, random), false);
        fleet.runFor(4000);
        fleet.answerAfter(300, fleet.submit(faults.running(), JobFleet.id(1), JobFleet.longRunning(4, 6000, 0)));
        for (int round = 0;
                round < ROUNDS && fleet.model.invariants().violations().isEmpty();
                round++) {
            fleet.submit(
                    faults.running(),
                    JobFleet.id(2 + round),
                    JobFleet.step(3, 4000, 300 + random.nextInt(1500)),
                    JobFleet.step(2, 4000, 300 + random.nextInt(1500), 0));
            fleet.runFor(random.nextInt(1200));
            restart(fleet, random, faults);
            fleet.runFor(random.nextInt(2500));
        }
        fleet.runFor(12_000);
        return fleet;
    }

    /** Restarts a server after calls to it were delayed, and cuts it off some time later. */
    private static void restart(JobFleet fleet, UniformRandomProvider random, RandomFaults faults) {
        String server = anyServer(fleet, random);
        List<NodeServerCommands> commands = List.copyOf(fleet.serverCommands);
        if (random.nextInt(2) == 0) {
            commands.forEach(c -> c.delayNextRenewal(server, Duration.ofMillis(500 + random.nextInt(8000))));
            fleet.runFor(random.nextInt(1500));
        }
        fleet.listDelay = Duration.ofMillis(random.nextInt(900));
        if (fleet.model.server(server) != null) {
            fleet.model.restart(server);
        }
        if (random.nextInt(2) == 0) {
            fleet.time.schedule(Duration.ofMillis(300 + random.nextInt(4000)), () -> {
                commands.forEach(c -> c.setCut(server, true));
                fleet.time.schedule(
                        Duration.ofMillis(200 + random.nextInt(9000)),
                        () -> commands.forEach(c -> c.setCut(server, false)));
            });
        }
        if (random.nextInt(6) == 0) {
            fleet.killProcess(faults.running());
            fleet.addNode();
        }
    }

    /** Returns a listed server; its identifier changes when its host moves to another pool. */
    private static String anyServer(JobFleet fleet, UniformRandomProvider random) {
        List<String> ids = fleet.model.serverIds();
        return ids.get(random.nextInt(ids.size()));
    }
}

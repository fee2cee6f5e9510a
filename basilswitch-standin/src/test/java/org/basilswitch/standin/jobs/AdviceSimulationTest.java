package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Advice services with times, policies and faults by chance, beside changes of the leader, slow stores and restarts. */
final class AdviceSimulationTest {
    private static final long DEFAULT_SEEDS = 12;
    private static final long WORK_MS = 400;
    /** Time after the last fault in which all jobs end, far beyond what the service takes to answer about each server. */
    private static final long FINISH_MS = 1_800_000;

    /** Guards against accepted jobs that stay behind after any series of faults. */
    @Test
    public void acceptedJobsEndAfterFaults() {
        List<String> failures = new ArrayList<>();
        long seeds = Long.getLong("adviceFaultSeeds", DEFAULT_SEEDS);
        for (long seed = Long.getLong("adviceFaultFirstSeed", 1); seed <= seeds; seed++) {
            List<String> failure = run(RandomSource.SPLIT_MIX_64.create(seed));
            if (!failure.isEmpty()) {
                failures.add("seed " + seed + ": " + failure);
            }
        }
        assertEquals(failures, List.of(), failures.size() + " of " + seeds + "\n" + String.join("\n", failures));
    }

    private static List<String> run(UniformRandomProvider random) {
        int servers = 3 + random.nextInt(60);
        JobFleet fleet = AdviceTest.fleet(servers);
        long decideMs = shortRatherThanLong(random, 4000);
        long perServerMs = shortRatherThanLong(random, 200);
        AdviceTest.setTimes(fleet, decideMs, perServerMs, 200 + random.nextInt(5000));
        long callMs = decideMs + 3 * perServerMs;
        fleet.advice.validFromCall = random.nextBoolean() && fleet.advice.validity.toMillis() * 8 / 10 > callMs + 200;
        String always = "s" + random.nextInt(servers);
        int ratio = 1 + random.nextInt(servers);
        fleet.advice.policy = (step, server) -> server.equals(always) || (step + server).hashCode() % ratio == 0;
        List<String> ids = new ArrayList<>();
        Set<String> completed = new HashSet<>();
        for (int round = 0; round < 4; round++) {
            for (int jobs = 1 + random.nextInt(4); jobs > 0; jobs--) {
                String id = JobFleet.id(ids.size() + 1);
                ids.add(id);
                int items = 1 + random.nextInt(4);
                AdviceTest.submit(
                        fleet,
                        id,
                        random.nextInt(4) == 0
                                ? JobFleet.gang(items, 1000, WORK_MS)
                                : JobFleet.step(items, 1000, WORK_MS));
            }
            injectFault(fleet, random, servers);
            noteCompleted(fleet, ids, completed);
            fleet.runFor(random.nextInt(5000));
        }
        endFaults(fleet);
        for (long ranMs = 0;
                ranMs < FINISH_MS && !openJobs(fleet, ids, completed).isEmpty();
                ranMs += 1000) {
            fleet.runFor(1000);
            noteCompleted(fleet, ids, completed);
        }
        List<String> failure = new ArrayList<>(fleet.model.invariants().violations());
        failure.addAll(fleet.advice.violations);
        openJobs(fleet, ids, completed).forEach(id -> failure.add(id + " has not completed"));
        return failure;
    }

    private static long shortRatherThanLong(UniformRandomProvider random, long mostMs) {
        double fraction = random.nextDouble();
        return Math.round(mostMs * fraction * fraction * fraction);
    }

    private static void injectFault(JobFleet fleet, UniformRandomProvider random, int servers) {
        switch (random.nextInt(8)) {
            case 0 -> fleet.advice.busy = true;
            case 1 -> fleet.advice.unansweredSteps = step -> true;
            case 2 -> fleet.advice.unansweredSteps = step -> step.startsWith(JobFleet.id(1));
            case 3 -> {
                int part = 1 + random.nextInt(4);
                fleet.advice.rejectingServers = server -> server.hashCode() % part == 0;
            }
            case 4 -> fleet.advice.uselessSteps = step -> step.startsWith(JobFleet.id(1));
            case 5 ->
                fleet.clients
                        .get(fleet.nodes.indexOf(fleet.leader()))
                        .setOneWayDelay(Duration.ofMillis(random.nextInt(450)));
            case 6 -> {
                fleet.replaceLeader();
                fleet.addNode();
            }
            default -> fleet.model.restart("s" + random.nextInt(servers));
        }
        if (random.nextInt(3) == 0) {
            endFaults(fleet);
        }
    }

    private static void endFaults(JobFleet fleet) {
        fleet.advice.busy = false;
        fleet.advice.unansweredSteps = step -> false;
        fleet.advice.uselessSteps = step -> false;
        fleet.advice.rejectingServers = server -> false;
        fleet.clients.forEach(client -> client.setOneWayDelay(Duration.ofMillis(1)));
    }

    /** Notes the jobs that have completed; a leader that was killed may not have told of those that it has stored. */
    private static void noteCompleted(JobFleet fleet, List<String> ids, Set<String> completed) {
        ids.stream()
                .filter(id -> AdviceTest.isCompleted(fleet, id)
                        || hasEvent(fleet, "JOB_ENDED job=" + id + " state=COMPLETED"))
                .forEach(completed::add);
    }

    private static List<String> openJobs(JobFleet fleet, List<String> ids, Set<String> completed) {
        return ids.stream()
                .filter(id -> hasEvent(fleet, "JOB_ACCEPTED job=" + id) && !completed.contains(id))
                .toList();
    }

    private static boolean hasEvent(JobFleet fleet, String text) {
        return fleet.events.stream().anyMatch(event -> event.contains(text));
    }
}

package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobPool;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.JobTeam;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Jobs about data on one rack of four, on the whole scheduler; work elsewhere takes a multiple of the time. */
final class HotRackTest {
    private static final String RACK = "rack-1";
    private static final int WIDTH = 8;
    private static final long WORK_MS = 800;
    /** Target of the queue: 1.6 times the work and 600 ms. */
    private static final long TARGET_MS = 1880;

    private record Outcome(double onTime, double meanMs, double remoteShare) {}

    private static StepSpec step(int count, long cpuMillis, boolean coupled, String rack) {
        return new StepSpec(
                count,
                new Resources(cpuMillis, 1000, 0),
                WORK_MS,
                List.of(),
                false,
                false,
                coupled,
                null,
                rack,
                0,
                false,
                false,
                null,
                0,
                false,
                0);
    }

    private static JobFleet fleet(double actualFactor, double configuredFactor) {
        JobFleet fleet = new JobFleet();
        fleet.remoteFactor = configuredFactor;
        fleet.model.setRemoteFactor(actualFactor);
        fleet.configure(
                List.of(new JobQueue("queue", "host", "/q/", JobFleet.POOL, 3000, 600, 0, 3, 1.6, false, null)),
                List.of(new JobTeam("team", Set.of(JobFleet.KEY), 1000, Resources.NONE)),
                List.of(new JobPool(JobFleet.POOL, true, false)));
        fleet.addServers(16);
        fleet.addNode();
        fleet.addNode();
        fleet.runFor(2000);
        return fleet;
    }

    /** Plays 20 s of load at a mean rate; a share of the jobs has its data on the hot rack. */
    private static Outcome play(double jobsPerS, double hotShare, double factor, boolean knows, long seed) {
        JobFleet fleet = fleet(factor, knows ? factor : 1);
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        Map<String, Long> submittedMs = new HashMap<>();
        Map<String, Long> doneMs = new HashMap<>();
        for (int tick = 0; tick < 2400; tick++) {
            if (tick < 2000 && random.nextDouble() < jobsPerS / 100) {
                String id = JobFleet.id(submittedMs.size() + 1);
                submittedMs.put(id, fleet.time.millis());
                fleet.submit(
                        fleet.leader(), id, step(WIDTH, 8000, false, random.nextDouble() < hotShare ? RACK : null));
            }
            fleet.runFor(10);
            submittedMs.keySet().stream()
                    .filter(id -> !doneMs.containsKey(id) && isDone(fleet, id))
                    .forEach(id -> doneMs.put(id, fleet.time.millis()));
        }
        assertEquals(fleet.model.invariants().violations(), List.of());
        double onTime = 0;
        double sumMs = 0;
        for (Map.Entry<String, Long> job : submittedMs.entrySet()) {
            long tookMs = doneMs.getOrDefault(job.getKey(), fleet.time.millis()) - job.getValue();
            onTime += tookMs <= TARGET_MS ? 1 : 0;
            sumMs += tookMs;
        }
        double near = countEvents(fleet, "count LOCALITY_RUNS near");
        double remote = countEvents(fleet, "count LOCALITY_RUNS remote");
        return new Outcome(
                onTime / submittedMs.size(), sumMs / submittedMs.size(), remote / Math.max(1, near + remote));
    }

    private static boolean isDone(JobFleet fleet, String id) {
        return IntStream.range(0, WIDTH).allMatch(i -> fleet.model.invariants().isDone(new ItemId(id, 0, 0, i)));
    }

    private static long countEvents(JobFleet fleet, String text) {
        return fleet.events.stream().filter(event -> event.contains(text)).count();
    }

    private static Outcome mean(double jobsPerS, double hotShare, double factor, boolean knows) {
        List<Outcome> outcomes = IntStream.rangeClosed(1, 8)
                .parallel()
                .mapToObj(seed -> play(jobsPerS, hotShare, factor, knows, seed))
                .toList();
        Outcome mean = new Outcome(
                outcomes.stream().mapToDouble(Outcome::onTime).average().orElseThrow(),
                outcomes.stream().mapToDouble(Outcome::meanMs).average().orElseThrow(),
                outcomes.stream().mapToDouble(Outcome::remoteShare).average().orElseThrow());
        System.out.printf(
                Locale.ROOT,
                "%.0f jobs/s, %.1f hot, factor %.1f, waits %b: on time %.3f, mean %.0f ms, remote %.3f%n",
                jobsPerS,
                hotShare,
                factor,
                knows,
                mean.onTime,
                mean.meanMs,
                mean.remoteShare);
        return mean;
    }

    @Test
    public void moreJobsAboutOneRackAreOnTimeByWaiting() {
        double never = mean(6, 0.8, 3, false).onTime;
        double decided = mean(6, 0.8, 3, true).onTime;
        assertTrue(decided > never, "on time " + decided + " with waits, " + never + " without");
    }

    /** The rack has room, or the jobs are on time elsewhere as well while nobody else waits. */
    @Test
    public void idleFleetStartsAtOnce() {
        JobFleet fleet = fleet(1.5, 1.5);
        submitOnRack(fleet, 1, 4);
        fleet.runFor(600);
        submitOnRack(fleet, 5, 1);
        fleet.runFor(50);
        assertEquals(countEvents(fleet, " RUN_ORDERED "), 5 * WIDTH);
        assertEquals(countEvents(fleet, "count LOCALITY_RUNS near"), 4 * WIDTH);
        assertEquals(countEvents(fleet, " PLACE_WAIT_STARTED "), 0);
    }

    /** The rack is full, and work elsewhere would be late. */
    @Test
    public void itemsWaitForTheEndsOfRunsAndOtherWorkTakesTheRoom() {
        JobFleet fleet = fleet(3, 3);
        submitOnRack(fleet, 1, 5);
        fleet.submit(fleet.leader(), JobFleet.id(6), step(96, 8000, false, null));
        fleet.runFor(100);
        assertEquals(countEvents(fleet, " RUN_ORDERED "), 4 * WIDTH + 96, fleet.lastEvents());
        fleet.runFor(1000);
        assertEquals(countEvents(fleet, "count LOCALITY_RUNS near"), 5 * WIDTH, fleet.lastEvents());
        assertEquals(countEvents(fleet, "count LOCALITY_WAITS near"), WIDTH);
    }

    /** Items wait for a rack whose servers crash; later ones don't, as it has no usable server. */
    @Test
    public void lostRackEndsTheWait() {
        JobFleet fleet = fleetWithWaitingJob();
        for (int i = 4; i < 8; i++) {
            fleet.model.crash("s" + i);
        }
        assertStartsWithin(fleet, 2600);
        fleet.runFor(2000);
        submitOnRack(fleet, 6, 1);
        fleet.runFor(100);
        assertEquals(startsOf(fleet, 6), WIDTH, fleet.lastEvents());
        assertEquals(countEvents(fleet, " PLACE_WAIT_STARTED "), 1);
    }

    /** The runs on the rack never end. */
    @Test
    public void waitInVainEnds() {
        JobFleet fleet = fleetWithWaitingJob();
        assertStartsWithin(fleet, 2600);
        assertTrue(countEvents(fleet, " PLACE_WAIT_IN_VAIN ") > 0, fleet.lastEvents());
    }

    /** A new leader does not know how long the items have waited; it knows when the job was accepted. */
    @Test
    public void newLeaderDoesNotBeginTheWaitAnew() {
        JobFleet fleet = fleetWithWaitingJob();
        fleet.replaceLeader();
        fleet.runFor(500);
        assertEquals(startsOf(fleet, 5), WIDTH, fleet.lastEvents());
        assertEquals(countEvents(fleet, " PLACE_WAIT_STARTED "), 1);
    }

    @Test
    public void clockSetBackDoesNotProlongTheWait() {
        JobFleet fleet = fleetWithWaitingJob();
        fleet.timeOf(fleet.leader()).stepWallClock(Duration.ofMinutes(-10));
        assertStartsWithin(fleet, 3300);
    }

    /** One rack is partly taken, so that a group that takes a whole rack fits on another one. */
    @Test
    public void gangsAndCoupledStepsGetOneRack() {
        for (boolean gang : new boolean[] {true, false}) {
            JobFleet fleet = fleet(2, 2);
            fleet.submit(fleet.leader(), JobFleet.id(1), step(1, 40_000, false, "rack-0"));
            fleet.runFor(50);
            StepSpec group = gang ? JobFleet.gang(8, 32_000, WORK_MS) : step(8, 32_000, true, null);
            fleet.submit(fleet.leader(), JobFleet.id(2), group);
            fleet.runFor(100);
            List<String> servers = fleet.serversOfOrders();
            assertEquals(servers.size(), 9, fleet.lastEvents());
            assertEquals(
                    servers.stream().skip(1).map(HotRackTest::rackOf).distinct().count(), 1L, servers.toString());
        }
    }

    /** Long-running work for three of four racks spares the one whose data is in demand, whichever that is. */
    @Test
    public void longRunningWorkSparesTheDemandedRack() {
        for (int hot = 0; hot < 4; hot++) {
            JobFleet fleet = fleet(2, 2);
            for (int i = 1; i <= 3; i++) {
                fleet.submit(fleet.leader(), JobFleet.id(i), step(WIDTH, 8000, false, "rack-" + hot));
                fleet.runFor(1000);
            }
            fleet.submit(fleet.leader(), JobFleet.id(9), JobFleet.longRunning(3, 8000, 1));
            fleet.runFor(100);
            List<String> servers = fleet.serversOfOrders();
            List<Integer> racks = servers.subList(3 * WIDTH, servers.size()).stream()
                    .map(HotRackTest::rackOf)
                    .toList();
            assertEquals(racks.size(), 3, fleet.lastEvents());
            assertTrue(!racks.contains(hot), "hot rack " + hot + ", racks " + racks);
        }
    }

    private static int rackOf(String server) {
        return Integer.parseInt(server.substring(1)) / 4;
    }

    private static void submitOnRack(JobFleet fleet, int firstJob, int jobs) {
        for (int i = firstJob; i < firstJob + jobs; i++) {
            fleet.submit(fleet.leader(), JobFleet.id(i), step(WIDTH, 8000, false, RACK));
        }
    }

    /** Returns a fleet whose hot rack is full of four jobs that do not end, while a fifth one waits for it. */
    private static JobFleet fleetWithWaitingJob() {
        JobFleet fleet = fleet(3, 3);
        fleet.model.setWorkTimes((item, server) -> Duration.ofMillis(item.job().equals(JobFleet.id(5)) ? 800 : 60_000));
        submitOnRack(fleet, 1, 5);
        fleet.runFor(200);
        assertEquals(startsOf(fleet, 5), 0, fleet.lastEvents());
        assertEquals(countEvents(fleet, " PLACE_WAIT_STARTED "), 1, fleet.lastEvents());
        return fleet;
    }

    private static void assertStartsWithin(JobFleet fleet, long ms) {
        fleet.runFor(ms);
        assertEquals(startsOf(fleet, 5), WIDTH, fleet.lastEvents());
    }

    private static long startsOf(JobFleet fleet, int job) {
        return fleet.events.stream()
                .filter(event -> event.contains(" RUN_ORDERED run=" + JobFleet.id(job)))
                .count();
    }
}

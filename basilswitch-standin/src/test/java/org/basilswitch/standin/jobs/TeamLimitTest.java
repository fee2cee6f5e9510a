package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.JobState;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.ServerCommands.RunEndKind;
import org.basilswitch.store.MemoryStoreClient;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Limits that are lowered below what the work items of an accepted job use. */
final class TeamLimitTest {
    private static final String ID = JobFleet.id(1);
    private static final Resources HIGH_LIMIT = new Resources(40_000, 0, 0);
    private static final Resources LOW_LIMIT = cores(5);
    private static final long LARGE_CPU_MILLIS = 6000;

    private static Resources cores(int cores) {
        return new Resources(cores * 1000L, 0, 0);
    }

    private static JobFleet fleet() {
        JobFleet fleet = new JobFleet();
        for (int i = 0; i < 4; i++) {
            fleet.model.addServer("s" + i, JobFleet.POOL, new Resources(64_000, 262_144, 8), "rack-" + i / 2);
        }
        fleet.addNode();
        fleet.addNode();
        fleet.addNode();
        fleet.configure(HIGH_LIMIT, 3);
        fleet.runFor(3000);
        return fleet;
    }

    /** Lowers the limit and runs until all entry hosts have read it. */
    private static void lowerLimit(JobFleet fleet, Resources limit) {
        fleet.configure(limit, 3);
        fleet.runFor(800);
    }

    /** Runs for a time in which no more than one work item may run above the limit. */
    private static void runWithin(JobFleet fleet, Resources limit, Resources largestItem, long ms) {
        Resources most = limit.plus(largestItem);
        for (int i = 0; i < ms / 10; i++) {
            fleet.runFor(10);
            Resources running = fleet.model.teamResources();
            assertTrue(running.cpuMillis() <= most.cpuMillis(), running + "\n" + fleet.lastEvents());
        }
    }

    private static void assertCompleted(JobFleet fleet, String id) {
        assertEquals(fleet.leader().jobState(id).orElseThrow(), JobState.COMPLETED, fleet.lastEvents());
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    private static StepSpec step(int count, Resources resources, Integer... after) {
        return StepSpec.of(count, resources, 500, List.of(after));
    }

    @DataProvider
    public Object[][] limitsBelowWorkItem() {
        return new Object[][] {
            {LOW_LIMIT, new Resources(6000, 100, 0)},
            {new Resources(0, 2000, 0), new Resources(1000, 3000, 0)},
            {new Resources(0, 0, 1), new Resources(1000, 100, 2)},
            {new Resources(5000, 2000, 1), new Resources(6000, 3000, 2)},
        };
    }

    /** Guards against a job that waits for ever, as one work item uses more than its team's lowered limit. */
    @Test(dataProvider = "limitsBelowWorkItem")
    public void workItemAboveLoweredLimitRunsAlone(Resources limit, Resources item) {
        JobFleet fleet = fleet();
        fleet.answerAfter(200, fleet.submit(fleet.leader(), ID, JobFleet.step(1, 1000, 1000), step(3, item, 0)));
        lowerLimit(fleet, limit);
        fleet.runFor(600);
        for (int i = 0; i < 300; i++) {
            fleet.runFor(10);
            assertTrue(fleet.model.activeRunCount() <= 1, fleet.lastEvents());
        }
        assertCompleted(fleet, ID);
        assertTrue(fleet.events.stream().anyMatch(event -> event.contains("TEAM_LIMIT_TOO_LOW")));
    }

    /** Guards against a gang that waits for ever, as its members together use more than the lowered limit. */
    @Test
    public void gangAboveLoweredLimitByPartOfMemberRuns() {
        JobFleet fleet = fleet();
        StepSpec gang = withDependency(JobFleet.gang(3, 4000, 500));
        fleet.answerAfter(200, fleet.submit(fleet.leader(), ID, JobFleet.step(1, 1000, 1000), gang));
        lowerLimit(fleet, cores(9));
        runWithin(fleet, cores(9), cores(4), 3000);
        assertCompleted(fleet, ID);
    }

    /** A gang that exceeds the limit by more than one member waits until the limit is raised, and the log tells why. */
    @Test
    public void gangFarAboveLoweredLimitWaitsForHigherLimit() {
        JobFleet fleet = fleet();
        StepSpec gang = withDependency(JobFleet.gang(4, 4000, 500));
        fleet.answerAfter(200, fleet.submit(fleet.leader(), ID, JobFleet.step(1, 1000, 1000), gang));
        lowerLimit(fleet, cores(9));
        runWithin(fleet, cores(9), cores(4), 3000);
        assertEquals(fleet.model.activeRunCount(), 0);
        assertTrue(fleet.events.stream().anyMatch(event -> event.contains("waits for a higher limit")));
        fleet.configure(HIGH_LIMIT, 3);
        fleet.runFor(1500);
        assertCompleted(fleet, ID);
    }

    private static StepSpec withDependency(StepSpec spec) {
        return new StepSpec(
                spec.count(),
                spec.resources(),
                spec.estimateMs(),
                List.of(0),
                false,
                spec.gang(),
                false,
                null,
                null,
                0,
                spec.speculative(),
                false,
                null,
                0,
                false,
                0);
    }

    /** Guards against long-running work that isn't restarted under a limit below one of its work items. */
    @Test
    public void longRunningWorkAboveLoweredLimitRestartsAlone() {
        JobFleet fleet = fleet();
        fleet.answerAfter(1000, fleet.submit(fleet.leader(), ID, JobFleet.longRunning(3, LARGE_CPU_MILLIS, 0)));
        assertEquals(fleet.model.activeRunCount(), 3);
        lowerLimit(fleet, LOW_LIMIT);
        for (int i = 0; i < 3; i++) {
            ItemId item = new ItemId(ID, 0, 0, i);
            fleet.model.server(fleet.serverOf(item)).endRun(item, RunEndKind.FAILED);
        }
        runWithin(fleet, LOW_LIMIT, cores(6), 3000);
        assertEquals(fleet.model.activeRunCount(), 1, fleet.lastEvents());
        assertEquals(fleet.model.invariants().violations(), List.of());
    }

    /** Guards against a copy beside a run that alone uses more than the limit. */
    @Test
    public void speculativeWorkItemAboveLoweredLimitRunsWithoutCopy() {
        JobFleet fleet = fleet();
        fleet.model.setWorkTimes(
                (item, server) -> Duration.ofMillis(item.step() == 0 ? 1000 : item.index() == 5 ? 6000 : 300));
        StepSpec speculative = withDependency(JobFleet.speculative(6, LARGE_CPU_MILLIS, 300));
        fleet.answerAfter(200, fleet.submit(fleet.leader(), ID, JobFleet.step(1, 1000, 1000), speculative));
        lowerLimit(fleet, LOW_LIMIT);
        for (int i = 0; i < 900; i++) {
            fleet.runFor(10);
            assertTrue(fleet.model.activeRunCount() <= 1, fleet.lastEvents());
        }
        assertCompleted(fleet, ID);
    }

    /** Guards against a new leader that leaves a job waiting, or starts two large work items, under the lowered limit. */
    @Test
    public void newLeaderRunsWorkItemsAboveLoweredLimit() {
        JobFleet fleet = fleet();
        fleet.answerAfter(
                200,
                fleet.submit(
                        fleet.leader(), ID, JobFleet.step(1, 1000, 500), JobFleet.step(3, LARGE_CPU_MILLIS, 3000, 0)));
        lowerLimit(fleet, LOW_LIMIT);
        runWithin(fleet, LOW_LIMIT, cores(6), 1000);
        assertEquals(fleet.model.activeRunCount(), 1);
        fleet.killProcess(fleet.leader());
        runWithin(fleet, LOW_LIMIT, cores(6), 16_000);
        assertCompleted(fleet, ID);
    }

    /** Guards against a large work item that never starts beside other work of its team, and against two at once. */
    @Test
    public void largeWorkItemsOfSeveralJobsRunInTurnBesideSmallOnes() {
        JobFleet fleet = fleet();
        fleet.answerAfter(500, fleet.submit(fleet.leader(), ID, JobFleet.longRunning(2, 1000, 0)));
        for (int job = 2; job <= 4; job++) {
            fleet.submit(
                    fleet.leader(),
                    JobFleet.id(job),
                    JobFleet.step(1, 1000, 1000),
                    // The last job's work item is within the limit on its own, but not beside the long-running work.
                    JobFleet.step(1, job < 4 ? LARGE_CPU_MILLIS : 4000, 500, 0));
        }
        fleet.runFor(300);
        lowerLimit(fleet, LOW_LIMIT);
        runWithin(fleet, LOW_LIMIT, cores(6), 5000);
        for (int job = 2; job <= 4; job++) {
            assertCompleted(fleet, JobFleet.id(job));
        }
        assertEquals(fleet.model.activeRunCount(), 2);
    }

    /** Guards against starts that were recorded before the limit was lowered and are sent after that. */
    @Test
    public void startsRecordedBeforeLimitWasLoweredKeepIt() {
        JobFleet fleet = fleet();
        MemoryStoreClient leaderClient = fleet.clients.get(fleet.nodes.indexOf(fleet.leader()));
        fleet.answerAfter(5, fleet.submit(fleet.leader(), ID, JobFleet.step(3, LARGE_CPU_MILLIS, 500)));
        leaderClient.setOneWayDelay(Duration.ofMillis(490));
        fleet.runFor(10);
        leaderClient.setOneWayDelay(Duration.ZERO);
        fleet.configure(LOW_LIMIT, 3);
        runWithin(fleet, LOW_LIMIT, cores(6), 6000);
        assertCompleted(fleet, ID);
    }

    /** Limits that change while leaders are killed and answers to starts are lost; -DlimitSeeds sets the number of seeds. */
    @Test
    public void changingLimitsAreKeptThroughFaults() {
        int seeds = Integer.getInteger("limitSeeds", 10);
        for (int seed = 0; seed < seeds; seed++) {
            runSeed(seed);
        }
    }

    private static void runSeed(int seed) {
        Random random = new Random(seed);
        JobFleet fleet = fleet();
        int jobs = 6;
        int largestCores = 0;
        for (int job = 1; job <= jobs; job++) {
            int cores = 1 + random.nextInt(12);
            largestCores = Math.max(largestCores, cores);
            submitToLeader(fleet, job, JobFleet.step(1 + random.nextInt(4), cores * 1000L, 200 + random.nextInt(600)));
        }
        int earlierCores = 40;
        int cores = 40;
        for (int change = 0; change < 8; change++) {
            int limitCores = 2 + random.nextInt(10);
            fleet.configure(cores(limitCores), 50);
            earlierCores = cores;
            cores = limitCores;
            fleet.model.loseNextAnswer("s" + random.nextInt(4));
            // Until all hosts have read the new limit, the earlier one may be in force.
            runWithinSeed(fleet, seed, Math.max(earlierCores, cores) + largestCores, 800);
            runWithinSeed(fleet, seed, cores + largestCores, random.nextInt(1500));
            if (random.nextInt(4) == 0 && fleet.nodes.size() < 6) {
                fleet.addNode();
                fleet.replaceLeader();
            }
        }
        for (int ms = 0; ms < 60_000 && fleet.model.activeRunCount() + openJobs(fleet, jobs) > 0; ms += 100) {
            fleet.runFor(100);
        }
        assertEquals(openJobs(fleet, jobs), 0, "seed " + seed + "\n" + fleet.lastEvents());
        assertEquals(fleet.model.invariants().violations(), List.of(), "seed " + seed);
    }

    private static void submitToLeader(JobFleet fleet, int job, StepSpec step) {
        fleet.answerAfter(20, fleet.submit(fleet.leader(), JobFleet.id(job), step));
    }

    private static int runningCores(JobFleet fleet) {
        return (int) (fleet.model.teamResources().cpuMillis() / 1000);
    }

    private static long openJobs(JobFleet fleet, int jobs) {
        return IntStream.rangeClosed(1, jobs)
                .filter(job -> fleet.leader()
                        .jobState(JobFleet.id(job))
                        .filter(JobState::isFinal)
                        .isEmpty())
                .count();
    }

    private static void runWithinSeed(JobFleet fleet, int seed, int mostCores, long ms) {
        for (int i = 0; i < ms / 10; i++) {
            int before = runningCores(fleet);
            fleet.runFor(10);
            int running = runningCores(fleet);
            assertTrue(
                    running <= Math.max(before, mostCores),
                    "seed " + seed + ": " + running + " cores of " + mostCores + "\n" + fleet.lastEvents());
        }
    }
}

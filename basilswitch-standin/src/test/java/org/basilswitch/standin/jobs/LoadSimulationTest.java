package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Load patterns that the scheduler has to handle; each simulates half a minute of virtual time. */
final class LoadSimulationTest {
    /** Number of seeds per pattern; -Dload.seeds sets another number. */
    private static final int SEEDS = Integer.getInteger("load.seeds", 8);
    /** Minimum fraction of the total value that is on time without disturbances. */
    private static final double MIN_BASELINE_ON_TIME = 0.9;
    /**
     * Minimum ratio to the baseline when some jobs always fail; they may cost the other jobs a tenth of what is on
     * time.
     */
    private static final double MIN_RATIO_WITH_FAILING_JOBS = 0.9;
    /**
     * Minimum ratio to the baseline when a sixth of the servers is slow or failing; the loss may be as large as that.
     */
    private static final double MIN_RATIO_WITH_BAD_SERVERS = 5 / 6.0;

    /** Minimum ratio to the baseline while the leader's wall clock is ahead, which says nothing about the jobs. */
    private static final double MIN_RATIO_WITH_CLOCK_STEPS = 0.9;

    private double baselineOnTime;

    @BeforeClass
    public void runBaseline() {
        baselineOnTime = onTime("demand by turns", day -> {});
    }

    /** Returns the mean fraction of the total value that was on time, and prints it with the use of hosts. */
    private static double onTime(String pattern, Consumer<LoadSimulation> configure) {
        List<LoadSimulation.Report> reports = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    LoadSimulation day = LoadSimulation.withRotatingPeaks(seed);
                    configure.accept(day);
                    LoadSimulation.Report report = day.run();
                    assertEquals(day.fleet.model.invariants().violations(), List.of(), "seed " + seed);
                    return report;
                })
                .toList();
        double onTime = reports.stream()
                .mapToDouble(LoadSimulation.Report::onTimeValueFraction)
                .average()
                .orElseThrow();
        System.out.printf(
                Locale.ROOT,
                "%-28s on time %.3f, host seconds %.0f, moves %.0f%n",
                pattern,
                onTime,
                reports.stream()
                        .mapToDouble(LoadSimulation.Report::hostSeconds)
                        .average()
                        .orElseThrow(),
                reports.stream()
                        .mapToDouble(LoadSimulation.Report::moves)
                        .average()
                        .orElseThrow());
        return onTime;
    }

    @Test
    public void rotatingPeaksAreMostlyOnTime() {
        assertTrue(baselineOnTime >= MIN_BASELINE_ON_TIME, "on time: " + baselineOnTime);
    }

    @Test
    public void slowServersCostAtMostTheirShare() {
        double onTime = onTime("with slow servers", day -> day.makeServersSlow(1 / 6.0, 6));
        assertTrue(
                onTime >= MIN_RATIO_WITH_BAD_SERVERS * baselineOnTime,
                "on time: " + onTime + ", baseline " + baselineOnTime);
    }

    @Test
    public void failingServersCostAtMostTheirShare() {
        double onTime = onTime("with failing servers", day -> day.makeServersFail(1 / 6.0));
        assertTrue(
                onTime >= MIN_RATIO_WITH_BAD_SERVERS * baselineOnTime,
                "on time: " + onTime + ", baseline " + baselineOnTime);
    }

    /**
     * Guards against starts on servers whose host was moved: the registry lists them for three more heartbeats, while the
     * list of hosts names the host's next server or none.
     */
    @Test
    public void movedHostsGetNoStartsUnderTheirFormerServer() {
        for (int seed = 1; seed <= SEEDS / 2; seed++) {
            LoadSimulation day = LoadSimulation.withRotatingPeaks(seed);
            day.fleet.model.setEntryRetention(Duration.ofMillis(4500));
            LoadSimulation.Report report = day.run();
            System.out.println("entries of moved servers stay listed: " + report);
            assertEquals(day.fleet.model.startsOnDepartedServers(), 0, "seed " + seed);
        }
    }

    /** Guards against an order of jobs that compares the wall clocks of two hosts. */
    @Test
    public void stepsOfLeadersWallClockCostAtMostATenth() {
        double onTime = onTime(
                "clock of leader ahead",
                day -> day.stepWallClockOfLeader(Duration.ofMillis(6000), Duration.ofMillis(12_000)));
        assertTrue(
                onTime >= MIN_RATIO_WITH_CLOCK_STEPS * baselineOnTime,
                "on time: " + onTime + ", baseline " + baselineOnTime);
    }

    /** Guards against jobs that count as late because the host that accepted them has a wall clock behind the leader's. */
    @Test
    public void wallClocksOfOtherHostsBackCostAtMostATenth() {
        double onTime = onTime("clocks of others back", day -> day.setOtherWallClocksBack(Duration.ofMillis(6000)));
        assertTrue(
                onTime >= MIN_RATIO_WITH_CLOCK_STEPS * baselineOnTime,
                "on time: " + onTime + ", baseline " + baselineOnTime);
    }

    @Test
    public void failingJobsCostOtherJobsAtMostATenth() {
        double onTime = onTime("beside hopeless jobs", day -> day.makeJobsFail(0.15));
        assertTrue(
                onTime >= MIN_RATIO_WITH_FAILING_JOBS * baselineOnTime,
                "on time: " + onTime + ", baseline " + baselineOnTime);
    }
}

package org.basilswitch.standin.jobs;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Loads that the scheduler has to carry, each named for its pattern; a day is half a minute of virtual time. */
final class LoadDayTest {
    /** Days of each pattern; more are played by hand with -Dload.seeds. */
    private static final int SEEDS = Integer.getInteger("load.seeds", 8);
    /** On a calm day nine tenths of the worth have to be on time. */
    private static final double MIN_BASELINE_ON_TIME = 0.9;
    /** Jobs that can never be done may cost the others a tenth of what is on time on a calm day. */
    private static final double MIN_RATIO_WITH_FAILING_JOBS = 0.9;
    /** With a sixth of the servers at fault, the rest may lose as much. */
    private static final double MIN_RATIO_WITH_BAD_SERVERS = 5 / 6.0;

    private double baselineOnTime;

    @BeforeClass
    public void runBaseline() {
        baselineOnTime = onTime("demand by turns", day -> {});
    }

    /** Mean part of all worth that was on time. */
    private static double onTime(String pattern, Consumer<LoadDay> configure) {
        List<LoadDay.Report> reports = IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    LoadDay day = LoadDay.withRotatingPeaks(seed);
                    configure.accept(day);
                    LoadDay.Report report = day.run();
                    assertEquals(day.fleet.model.invariants().violations(), List.of(), "seed " + seed);
                    return report;
                })
                .toList();
        double onTime = reports.stream()
                .mapToDouble(LoadDay.Report::onTimeValueFraction)
                .average()
                .orElseThrow();
        System.out.printf(
                Locale.ROOT,
                "%-28s on time %.3f, host seconds %.0f, moves %.0f%n",
                pattern,
                onTime,
                reports.stream()
                        .mapToDouble(LoadDay.Report::hostSeconds)
                        .average()
                        .orElseThrow(),
                reports.stream().mapToDouble(LoadDay.Report::moves).average().orElseThrow());
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
                "on time: " + onTime + ", on calm days " + baselineOnTime);
    }

    @Test
    public void failingServersCostAtMostTheirShare() {
        double onTime = onTime("with failing servers", day -> day.makeServersFail(1 / 6.0));
        assertTrue(
                onTime >= MIN_RATIO_WITH_BAD_SERVERS * baselineOnTime,
                "on time: " + onTime + ", on calm days " + baselineOnTime);
    }

    @Test
    public void failingJobsCostOtherJobsAtMostATenth() {
        double onTime = onTime("beside hopeless jobs", day -> day.makeJobsFail(0.15));
        assertTrue(
                onTime >= MIN_RATIO_WITH_FAILING_JOBS * baselineOnTime,
                "on time: " + onTime + ", on calm days " + baselineOnTime);
    }
}

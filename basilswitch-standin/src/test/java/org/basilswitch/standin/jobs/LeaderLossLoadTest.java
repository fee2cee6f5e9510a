package org.basilswitch.standin.jobs;

import java.util.List;
import java.util.Locale;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Demand by turns on a large fleet that loses its leaders in series. */
final class LeaderLossLoadTest {
    /** Number of seeds; -Dload.leaderSeeds sets another number. */
    private static final int SEEDS = Integer.getInteger("load.leaderSeeds", 1);

    private static final int WINDOW_MS = 2000;
    /** Time after which the service has to be back at its calm level; the users' pages allow 15 s. */
    private static final int RECOVERY_MS = 5000;
    /** Minimum ratio to the calm level after the recovery; the rest is due to other runs of the same random load. */
    private static final double MIN_RATIO_AFTER_RECOVERY = 0.9;

    /** Guards against a scheduler that stays behind its load after the last of several takeovers. */
    @Test
    public void serviceIsCalmAgainAfterLeadersWereLostInSeries() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            LoadSimulation calm = LoadSimulation.withRotatingPeaksOnLargeFleet(seed);
            calm.run();
            LoadSimulation day = LoadSimulation.withRotatingPeaksOnLargeFleet(seed);
            int lastFaultMs = day.loseLeadersInSeries();
            LoadSimulation.Report report = day.run();
            int from = (lastFaultMs + RECOVERY_MS + WINDOW_MS - 1) / WINDOW_MS;
            List<Double> expected = calm.onTimeByWindow(WINDOW_MS);
            List<Double> actual = day.onTimeByWindow(WINDOW_MS);
            System.out.printf(
                    Locale.ROOT, "leaders lost, seed %d: %s%n  calm %s%n  lost %s%n", seed, report, expected, actual);
            assertEquals(day.fleet.model.invariants().violations(), List.of(), "seed " + seed);
            assertEquals(day.acceptedButUnfinished(), List.of(), "seed " + seed);
            assertTrue(
                    sum(actual, from) >= MIN_RATIO_AFTER_RECOVERY * sum(expected, from),
                    "seed " + seed + ", windows from " + from * WINDOW_MS + " ms: " + actual + ", calm " + expected);
        }
    }

    private static double sum(List<Double> windows, int from) {
        return windows.subList(from, windows.size()).stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }
}

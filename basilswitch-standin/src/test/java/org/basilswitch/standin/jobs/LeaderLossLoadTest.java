package org.basilswitch.standin.jobs;

import java.util.Locale;

import org.testng.annotations.Test;

/** Demand by turns on a large fleet that loses its leaders in series. */
final class LeaderLossLoadTest {
    @Test
    public void explore() {
        for (int seed = 1; seed <= 1; seed++) {
            LoadSimulation calm = LoadSimulation.withRotatingPeaksOnLargeFleet(seed);
            System.out.println("calm " + calm.run());
            System.out.println(String.join(
                    " ",
                    calm.onTimeByWindow(2000).stream()
                            .map(v -> String.format(Locale.ROOT, "%.2f", v))
                            .toList()));
            LoadSimulation day = LoadSimulation.withRotatingPeaksOnLargeFleet(seed);
            day.loseLeadersInSeries();
            System.out.println("lost " + day.run());
            System.out.println(String.join(
                    " ",
                    day.onTimeByWindow(2000).stream()
                            .map(v -> String.format(Locale.ROOT, "%.2f", v))
                            .toList()));
            day.unfinished().forEach(System.out::println);
            System.out.println(day.fleet.model.invariants().violations());
        }
    }
}

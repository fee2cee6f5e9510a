package org.basilswitch.bench.slopes;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;

/** Measures control cost at several sizes, one dimension at a time, and at letter 1's size as a whole. */
public final class ControlCostBench {
    private static final double CORE_PERCENT_LIMIT = 1.7;
    private static final double HEAP_MEGABYTES_LIMIT = 32;
    private static final double BYTES_PER_SECOND_LIMIT = 3_000;
    private static final double IN_FORCE_MS_LIMIT = 6_000;

    private final PrintStream out;
    private final Duration duration;

    private ControlCostBench(PrintStream out, Duration duration) {
        this.out = out;
        this.duration = duration;
    }

    /** Prints the tables as Markdown. */
    public static void print(PrintStream out, Duration duration) {
        ControlCostBench bench = new ControlCostBench(out, duration);
        ControlSite.measure(ControlSize.ofToday(), duration);
        bench.header();
        ControlSize today = ControlSize.ofToday();
        bench.dimension("entry hosts", List.of(3, 6, 9), today::withMembers);
        bench.dimension("pools and queues", List.of(5, 20, 49), today::withPools);
        bench.dimension("teams", List.of(6, 60, 240), today::withTeams);
        bench.dimension("worker hosts", List.of(40, 2_400, 24_000), today::withHosts);
        bench.dimension("changes a day", List.of(0, 64_000, 256_000), today::withChanges);
        bench.letter();
    }

    private void header() {
        out.println("| varied | size | core % | heap MB | peer B/s | store calls/s | in force ms |");
        out.println("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    }

    private void dimension(String name, List<Integer> sizes, IntFunction<ControlSize> shape) {
        List<ControlCost> costs = new ArrayList<>();
        for (int size : sizes) {
            ControlCost cost = ControlSite.measure(shape.apply(size), duration);
            costs.add(cost);
            row(name, Integer.toString(size), cost);
        }
        out.printf(
                Locale.ROOT,
                "| slope per 1000 | | %.3f | %.2f | %.1f | %.2f | |%n",
                slope(sizes, costs, ControlCost::corePercent),
                slope(sizes, costs, ControlCost::heapMegabytes),
                slope(sizes, costs, ControlCost::peerBytesPerSecond),
                slope(sizes, costs, ControlCost::storeCallsPerSecond));
    }

    private void row(String name, String size, ControlCost cost) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %.3f | %.2f | %.0f | %.2f | %.0f |%n",
                name,
                size,
                cost.corePercent(),
                cost.heapMegabytes(),
                cost.peerBytesPerSecond(),
                cost.storeCallsPerSecond(),
                cost.inForceMs());
    }

    private void letter() {
        ControlCost cost = ControlSite.measure(ControlSize.ofLetter(), duration);
        row("letter 1, one cell", "9 entry hosts", cost);
        out.printf(
                Locale.ROOT,
                "| limit | | %.1f %s | %.0f %s | %.0f %s | | %.0f %s |%n",
                CORE_PERCENT_LIMIT,
                verdict(cost.corePercent() <= CORE_PERCENT_LIMIT),
                HEAP_MEGABYTES_LIMIT,
                verdict(cost.heapMegabytes() <= HEAP_MEGABYTES_LIMIT),
                BYTES_PER_SECOND_LIMIT,
                verdict(cost.peerBytesPerSecond() <= BYTES_PER_SECOND_LIMIT),
                IN_FORCE_MS_LIMIT,
                verdict(cost.inForceMs() <= IN_FORCE_MS_LIMIT));
    }

    private static String verdict(boolean met) {
        return met ? "met" : "broken";
    }

    /** Least-squares slope per thousand units of the varied size. */
    private static double slope(List<Integer> sizes, List<ControlCost> costs, ToDoubleFunction<ControlCost> field) {
        double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElse(0);
        double meanCost = costs.stream().mapToDouble(field).average().orElse(0);
        double above = 0;
        double below = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double offset = sizes.get(i) - meanSize;
            above += offset * (field.applyAsDouble(costs.get(i)) - meanCost);
            below += offset * offset;
        }
        return 1000 * above / below;
    }
}

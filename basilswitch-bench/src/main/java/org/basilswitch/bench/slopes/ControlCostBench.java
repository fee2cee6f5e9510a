package org.basilswitch.bench.slopes;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;

/**
 * Measures control cost with one dimension of the site's size varied at a time, and at the size of the largest cell.
 */
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

    /** Measures for a duration of virtual time at each size and prints the results as a Markdown table. */
    public static void print(PrintStream out, Duration duration) {
        ControlCostBench bench = new ControlCostBench(out, duration);
        ControlSite.measure(ControlSize.ofCurrentScale(), duration);
        bench.printHeader();
        ControlSize today = ControlSize.ofCurrentScale();
        bench.measureDimension("entry hosts", List.of(3, 6, 9), today::withMembers);
        bench.measureDimension("pools and queues", List.of(5, 20, 49), today::withPools);
        bench.measureDimension("teams", List.of(6, 60, 240), today::withTeams);
        bench.measureDimension("worker hosts", List.of(40, 2_400, 24_000), today::withHosts);
        bench.measureDimension("changes a day", List.of(0, 64_000, 256_000), today::withChanges);
        bench.printLargestCell();
    }

    private void printHeader() {
        out.println("| varied | size | core % | heap MB | peer B/s | store calls/s | in force ms |");
        out.println("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    }

    private void measureDimension(String name, List<Integer> sizes, IntFunction<ControlSize> sizeOf) {
        List<ControlCost> costs = new ArrayList<>();
        for (int size : sizes) {
            ControlCost cost = ControlSite.measure(sizeOf.apply(size), duration);
            costs.add(cost);
            printRow(name, Integer.toString(size), cost);
        }
        out.printf(
                Locale.ROOT,
                "| slope per 1000 | | %.3f | %.2f | %.1f | %.2f | |%n",
                slope(sizes, costs, ControlCost::corePercent),
                slope(sizes, costs, ControlCost::heapMegabytes),
                slope(sizes, costs, ControlCost::peerBytesPerSecond),
                slope(sizes, costs, ControlCost::storeCallsPerSecond));
    }

    private void printRow(String name, String size, ControlCost cost) {
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

    private void printLargestCell() {
        ControlCost cost = ControlSite.measure(ControlSize.ofLargestCell(), duration);
        printRow("largest cell", "9 entry hosts", cost);
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

    /** Returns the slope of the least-squares line through the costs, per 1000 units of the varied size. */
    private static double slope(List<Integer> sizes, List<ControlCost> costs, ToDoubleFunction<ControlCost> field) {
        double meanSize = sizes.stream().mapToInt(Integer::intValue).average().orElse(0);
        double meanCost = costs.stream().mapToDouble(field).average().orElse(0);
        double numerator = 0;
        double denominator = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double offset = sizes.get(i) - meanSize;
            numerator += offset * (field.applyAsDouble(costs.get(i)) - meanCost);
            denominator += offset * offset;
        }
        return 1000 * numerator / denominator;
    }
}

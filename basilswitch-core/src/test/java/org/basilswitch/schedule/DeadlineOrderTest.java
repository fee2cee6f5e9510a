package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class DeadlineOrderTest {

    private static DeadlineOrder.Entry<String> job(String name, double latestStartMs, double work, double value) {
        return new DeadlineOrder.Entry<>(name, latestStartMs, work, value, false);
    }

    @Test
    public void sufficientCapacityOrdersByLatestStart() {
        List<String> order = DeadlineOrder.sorted(List.of(job("b", 2000, 100, 1), job("a", 1000, 100, 1)), 0, 1);
        assertEquals(order, List.of("a", "b"));
    }

    @Test
    public void overloadDropsTheJobWithTheLeastValuePerWork() {
        List<String> order = DeadlineOrder.sorted(
                List.of(job("large", 100, 10_000, 1), job("s1", 500, 300, 1), job("s2", 800, 300, 1)), 0, 1);
        assertEquals(order, List.of("s1", "s2", "large"));
    }

    @Test
    public void lateJobsComeAfterJobsThatCanBeOnTime() {
        List<String> order = DeadlineOrder.sorted(List.of(job("late", -1, 10, 5), job("soon", 50, 10, 1)), 0, 1);
        assertEquals(order, List.of("soon", "late"));
    }

    @Test
    public void jobsBeyondTheTeamShareComeLast() {
        DeadlineOrder.Entry<String> beyond = new DeadlineOrder.Entry<>("beyond", 10, 1, 9, true);
        List<String> order =
                DeadlineOrder.sorted(List.of(beyond, job("late", -5, 10, 1), job("due", 100, 10, 1)), 0, 1);
        assertEquals(order, List.of("due", "late", "beyond"));
    }

    /**
     * Load pattern: one pool gets 1.5 times the work that it can do for many seconds. Earliest deadline first would
     * make nearly all jobs late.
     */
    @Test
    public void sustainedOverloadKeepsMostFeasibleJobsOnTime() {
        double deadlineOrder = onTimeFraction(true);
        double earliestDeadlineFirst = onTimeFraction(false);
        assertTrue(deadlineOrder > 0.55, "on time " + deadlineOrder);
        assertTrue(deadlineOrder > 2 * earliestDeadlineFirst, deadlineOrder + " against " + earliestDeadlineFirst);
    }

    private record Pending(double arrivalMs, double latestStartMs, double work) {}

    private static double onTimeFraction(boolean useDeadlineOrder) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(7);
        List<Pending> waiting = new ArrayList<>();
        int submitted = 0;
        int onTime = 0;
        double cores = 10;
        double freeAtMs = 0;
        for (double nowMs = 0; nowMs < 20_000; nowMs += 10) {
            if (random.nextDouble() < 0.15) {
                submitted++;
                waiting.add(new Pending(nowMs, nowMs + 1500, 200 + 1600 * random.nextDouble()));
            }
            while (freeAtMs <= nowMs && !waiting.isEmpty()) {
                Pending next = next(waiting, nowMs, cores, useDeadlineOrder);
                waiting.remove(next);
                freeAtMs = Math.max(freeAtMs, nowMs) + next.work / cores;
                onTime += nowMs <= next.latestStartMs ? 1 : 0;
            }
        }
        return onTime / (double) submitted;
    }

    private static Pending next(List<Pending> waiting, double nowMs, double cores, boolean useDeadlineOrder) {
        if (!useDeadlineOrder) {
            return waiting.stream()
                    .min(Comparator.comparingDouble(Pending::latestStartMs))
                    .orElseThrow();
        }
        List<DeadlineOrder.Entry<Pending>> entries = waiting.stream()
                .map(p -> new DeadlineOrder.Entry<>(p, p.latestStartMs, p.work, 1, false))
                .toList();
        return DeadlineOrder.sorted(entries, nowMs, cores).get(0);
    }
}

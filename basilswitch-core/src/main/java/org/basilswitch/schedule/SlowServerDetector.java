package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Finds backend servers that work more slowly than others, from the progress that their reports show.
 *
 * <p>A work item's usual time is that of other work items of its step, which ask for the same, or what its queue's
 * earlier work items took. The median over the steps at work on a server is robust against a step whose estimate is far off.
 */
final class SlowServerDetector {
    /** Runs at work are long ones more often than not; by the median they seem up to 2.6 times as long as usual. */
    private static final double SLOW_FACTOR = 3.0;
    /** The same where only one step shows it, as its work items may be three times as long as their estimate. */
    private static final double SINGLE_STEP_SLOW_FACTOR = 5.0;
    /** Time after which a server that was found slow is tried again; disturbances last some seconds. */
    private static final Duration AVOIDANCE_TIME = Duration.ofMillis(2500);

    private static final int FULL_PERCENT = 100;
    /** Progress that counts as none, percent a millisecond: an hour for a work item. */
    private static final double MIN_PERCENT_PER_MS = FULL_PERCENT / 3.6e6;

    private final DurationModel durationModel;

    SlowServerDetector(DurationModel durationModel) {
        this.durationModel = durationModel;
    }

    /** Judges a server by its newest report; returns whether it has just been found slow. */
    boolean updateSlowness(TrackedServer server, long nowNanos) {
        Map<String, List<Double>> byStep = new HashMap<>();
        for (Run run : server.runs()) {
            slowdown(run)
                    .ifPresent(factor -> byStep.computeIfAbsent(run.id().stepName(), step -> new ArrayList<>())
                            .add(factor));
        }
        if (byStep.isEmpty()) {
            return false;
        }
        double median =
                median(byStep.values().stream().map(SlowServerDetector::median).toList());
        boolean isSlow = median >= (byStep.size() == 1 ? SINGLE_STEP_SLOW_FACTOR : SLOW_FACTOR);
        boolean wasSlow = server.isSlow(nowNanos);
        if (isSlow) {
            server.markSlow(median, nowNanos + AVOIDANCE_TIME.toNanos());
        } else if (median < SLOW_FACTOR) {
            server.clearSlow();
        }
        return isSlow && !wasSlow;
    }

    /** The median, the lower one of two in the middle. */
    private static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((sorted.size() - 1) / 2);
    }

    /** How many times as long a run takes as usual, by its progress; empty where that can't be told. */
    private Optional<Double> slowdown(Run run) {
        if (run.phase() != Run.Phase.RUNNING
                || run.isStopping()
                || run.item().spec().longRunning()
                || run.item().spec().gang()
                || run.pacePercent() < FULL_PERCENT) {
            return Optional.empty();
        }
        return run.percentPerMs()
                .map(rate -> FULL_PERCENT / usualDurationMs(run.item()) / Math.max(rate, MIN_PERCENT_PER_MS));
    }

    /** Time that a work item takes on a server of usual speed, ms. */
    double usualDurationMs(WorkItem item) {
        double[] durationsMs = item.job().stepOf(item.id()).stream()
                .mapToDouble(WorkItem::durationMs)
                .filter(ms -> ms > 0)
                .toArray();
        if (durationsMs.length == 0) {
            return durationModel.expectedMs(
                    item.job().submission().queue(), item.spec().estimateMs());
        }
        Arrays.sort(durationsMs);
        return durationsMs[durationsMs.length / 2];
    }
}

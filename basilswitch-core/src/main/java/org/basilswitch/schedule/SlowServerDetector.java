package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Detects backend servers that work more slowly than others, from the progress in their reports.
 *
 * <p>The usual duration of a work item is that of other items of its step, which request the same resources, or the
 * duration expected from the queue's earlier items. The median over the steps running on a server is robust against a
 * step whose estimate is far off.
 */
final class SlowServerDetector {
    /**
     * Slowdown from which a server is slow. Runs in progress are mostly long ones, so by the median they seem to take
     * up to 2.6 times the usual duration.
     */
    private static final double SLOW_FACTOR = 3.0;
    /**
     * Slowdown from which a server with runs of only one step is slow, as its work items may take three times their
     * estimate.
     */
    private static final double SINGLE_STEP_SLOW_FACTOR = 5.0;
    /** Time for which a slow server is avoided before it is used again; disturbances last some seconds. */
    private static final Duration AVOIDANCE_TIME = Duration.ofMillis(2500);

    private static final int FULL_PERCENT = 100;
    /** Minimum rate of progress, in percent per millisecond; an hour for a work item. */
    private static final double MIN_PERCENT_PER_MS = FULL_PERCENT / 3.6e6;

    private final DurationModel durationModel;

    SlowServerDetector(DurationModel durationModel) {
        this.durationModel = durationModel;
    }

    /** Marks a server as slow or normal by its newest report; returns whether it has become slow. */
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

    /** Returns the median; of two middle values the lower one. */
    private static double median(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.get((sorted.size() - 1) / 2);
    }

    /**
     * Returns the factor by which a run takes longer than usual according to its progress; empty if it cannot be
     * determined.
     */
    private Optional<Double> slowdown(Run run) {
        if (run.phase() != Run.Phase.RUNNING
                || run.isStopping()
                || run.item().spec().longRunning()
                || run.item().spec().gang()
                || run.pacePercent() < FULL_PERCENT) {
            return Optional.empty();
        }
        return run.percentPerMs()
                .map(rate -> FULL_PERCENT
                        / usualDurationMs(run.item())
                        / run.expectedSlowdown()
                        / Math.max(rate, MIN_PERCENT_PER_MS));
    }

    /** Returns the duration of a work item on a server of normal speed, in ms. */
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

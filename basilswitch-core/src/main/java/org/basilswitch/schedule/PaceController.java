package org.basilswitch.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.job.StepSpec;

/**
 * Slows down work that uses spare capacity while the response times of serving work on the same server are near their
 * target, and speeds it up again when they are well below it.
 */
final class PaceController {
    /** Minimum interval between changes; a reported tail covers 0.5 s and a new pace takes effect after 0.1 s. */
    private static final Duration INTERVAL = Duration.ofMillis(600);
    /**
     * Fractions of the tail target. Above the first, spare-capacity work is slowed down; above the second it is paused;
     * below the third it is sped up.
     */
    private static final double SLOW_ABOVE = 0.8;

    private static final double PAUSE_ABOVE = 1.0;
    private static final double SPEED_UP_BELOW = 0.55;
    private static final int STEP_PERCENT = 20;
    private static final int FULL_PERCENT = 100;

    private final Map<BackendServer.Incarnation, Long> changedNanos = new HashMap<>();

    /**
     * A change of pace.
     *
     * @param run run
     * @param percent new pace, as a percentage of full speed
     */
    record PaceChange(Run run, int percent) {}

    /**
     * Returns whether a server runs both serving work and work that uses spare capacity, so that its reports are needed
     * often.
     */
    static boolean isShared(TrackedServer server) {
        boolean hasServingWork = false;
        boolean hasSpareCapacityWork = false;
        for (Run run : server.runs()) {
            hasServingWork |= run.item().spec().isServing();
            hasSpareCapacityWork |= run.item().spec().usesSpareCapacity();
        }
        return hasServingWork && hasSpareCapacityWork;
    }

    /** Returns the changes that a server's newest report requires. */
    List<PaceChange> changes(TrackedServer server, long nowNanos) {
        List<Run> spareCapacityRuns = server.runs().stream()
                .filter(run ->
                        run.item().spec().usesSpareCapacity() && run.phase() == Run.Phase.RUNNING && !run.isStopping())
                .toList();
        if (spareCapacityRuns.isEmpty()) {
            return List.of();
        }
        long last = changedNanos.getOrDefault(server.incarnation(), Long.MIN_VALUE / 2);
        if (nowNanos - last < INTERVAL.toNanos()) {
            return List.of();
        }
        double worstRatio = server.runs().stream()
                .mapToDouble(PaceController::tailRatio)
                .max()
                .orElse(0);
        List<PaceChange> changes = spareCapacityRuns.stream()
                .map(run -> new PaceChange(run, nextPercent(run.pacePercent(), worstRatio)))
                .filter(change -> change.percent() != change.run().pacePercent())
                .toList();
        if (!changes.isEmpty()) {
            changedNanos.put(server.incarnation(), nowNanos);
        }
        return changes;
    }

    /** Returns the tail response time of a serving run as a fraction of its target; zero for other runs. */
    private static double tailRatio(Run run) {
        StepSpec spec = run.item().spec();
        return spec.isServing() ? run.load() / (double) spec.tailTargetMs() : 0;
    }

    private static int nextPercent(int percent, double tailRatio) {
        boolean known = percent != Run.UNKNOWN_PACE_PERCENT;
        if (tailRatio > SLOW_ABOVE) {
            return known && tailRatio <= PAUSE_ABOVE ? percent / 2 : 0;
        }
        if (tailRatio < SPEED_UP_BELOW) {
            return known ? Math.min(FULL_PERCENT, percent + STEP_PERCENT) : FULL_PERCENT;
        }
        return percent;
    }
}

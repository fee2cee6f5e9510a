package org.basilswitch.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.job.StepSpec;

/**
 * Slows work that fills a server while the response times of the work that serves there come near their target, and
 * lets it go on faster again with the room that is left.
 */
final class PaceController {
    /** A reported tail covers half a second, and a new pace shows after a tenth of a second. */
    private static final Duration INTERVAL = Duration.ofMillis(600);
    /** Parts of the target: above the first work is slowed, above the second it stands, below the third it is let go. */
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
     * @param percent its new pace
     */
    record PaceChange(Run run, int percent) {}

    /** Whether a server's reports are to come often, since work that serves and work that fills meet there. */
    static boolean isShared(TrackedServer server) {
        boolean hasServingWork = false;
        boolean hasSpareCapacityWork = false;
        for (Run run : server.runs()) {
            hasServingWork |= run.item().spec().isServing();
            hasSpareCapacityWork |= run.item().spec().usesSpareCapacity();
        }
        return hasServingWork && hasSpareCapacityWork;
    }

    /** Changes that a server's newest report asks for. */
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

    /** Tail of a serving run as a part of its target; zero for other runs. */
    private static double tailRatio(Run run) {
        StepSpec spec = run.item().spec();
        return spec.isServing() ? run.load() / (double) spec.tailTargetMs() : 0;
    }

    private static int nextPercent(int percent, double tailRatio) {
        if (tailRatio > PAUSE_ABOVE) {
            return 0;
        }
        if (tailRatio > SLOW_ABOVE) {
            return percent / 2;
        }
        return tailRatio < SPEED_UP_BELOW ? Math.min(FULL_PERCENT, percent + STEP_PERCENT) : percent;
    }
}

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

    private static final double STAND_ABOVE = 1.0;
    private static final double FASTER_BELOW = 0.55;
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
        boolean serving = false;
        boolean filling = false;
        for (Run run : server.runs()) {
            serving |= run.item().spec().isServing();
            filling |= run.item().spec().usesSpareCapacity();
        }
        return serving && filling;
    }

    /** Changes that a server's newest report asks for. */
    List<PaceChange> changes(TrackedServer server, long nowNanos) {
        List<Run> fillers = server.runs().stream()
                .filter(run ->
                        run.item().spec().usesSpareCapacity() && run.phase() == Run.Phase.RUNNING && !run.stopping())
                .toList();
        if (fillers.isEmpty()) {
            return List.of();
        }
        long last = changedNanos.getOrDefault(server.incarnation(), Long.MIN_VALUE / 2);
        if (nowNanos - last < INTERVAL.toNanos()) {
            return List.of();
        }
        double worst = server.runs().stream()
                .mapToDouble(PaceController::pressure)
                .max()
                .orElse(0);
        List<PaceChange> changes = fillers.stream()
                .map(run -> new PaceChange(run, next(run.pacePercent(), worst)))
                .filter(change -> change.percent() != change.run().pacePercent())
                .toList();
        if (!changes.isEmpty()) {
            changedNanos.put(server.incarnation(), nowNanos);
        }
        return changes;
    }

    /** Tail of a serving run as a part of its target; zero for other runs. */
    private static double pressure(Run run) {
        StepSpec spec = run.item().spec();
        return spec.isServing() ? run.load() / (double) spec.tailTargetMs() : 0;
    }

    private static int next(int percent, double pressure) {
        if (pressure > STAND_ABOVE) {
            return 0;
        }
        if (pressure > SLOW_ABOVE) {
            return percent / 2;
        }
        return pressure < FASTER_BELOW ? Math.min(FULL_PERCENT, percent + STEP_PERCENT) : percent;
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.basilswitch.event.EventCode;
import org.basilswitch.job.Resources;

/**
 * Starts work items again that a slow backend server would end late, where another server of the pool has room and would
 * do them sooner from the beginning. The first run is stopped before, or goes on as a copy where the step allows copies;
 * there a server that has fallen silent is reason enough.
 */
final class StragglerRestarter {
    /** Time for the stop, its report, the record and the new start, ms; a stop alone may take 200 ms. */
    private static final double RESTART_MS = 400;
    /** Part of the time left that a restart has to save: progress comes in whole percent and durations are expected ones. */
    private static final double MIN_SAVING_FRACTION = 0.25;
    /** A hold is answered within 0.9 s; a server that is silent for longer may have crashed. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(1300);
    /** A work item that was slow on several servers is slow itself. */
    private static final int MAX_RESTARTS = 2;

    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final RunSupervisor runSupervisor;
    private final SlowServerDetector slowServerDetector;

    StragglerRestarter(
            SchedulerContext context,
            RunRegistry runRegistry,
            RunSupervisor runSupervisor,
            SlowServerDetector slowServerDetector) {
        this.context = context;
        this.runRegistry = runRegistry;
        this.runSupervisor = runSupervisor;
        this.slowServerDetector = slowServerDetector;
    }

    /**
     * Starts elsewhere what is late on slow servers, and copies of what is on silent ones.
     *
     * @param usable whether a server may get new work
     */
    void restart(Predicate<TrackedServer> usable) {
        long nowNanos = context.clock().monotonicNanos();
        Map<TrackedServer, Resources> reserved = new HashMap<>();
        for (TrackedServer server : runRegistry.servers()) {
            boolean isSilent = !server.answeredWithin(MAX_SILENCE, nowNanos);
            if (server.listing().isEmpty() || !isSilent && !server.isSlow(nowNanos)) {
                continue;
            }
            for (Run run : server.runs()) {
                boolean restartHelps = isSilent ? mayHaveCopy(run) : isRestartFaster(run);
                if (restartHelps && reserve(run, server, usable, reserved)) {
                    restart(run);
                }
            }
        }
    }

    private void restart(Run run) {
        boolean copy = run.item().spec().speculative();
        run.item().countRestart();
        context.telemetry()
                .event(EventCode.RUN_RESTARTED, "run=" + run + " percent=" + run.percent() + " copy=" + copy);
        if (copy) {
            runSupervisor.demoteToCopy(run);
        } else {
            runSupervisor.stop(run);
        }
    }

    /** Whether a second run may be started while this one may go on. */
    private static boolean mayHaveCopy(Run run) {
        WorkItem item = run.item();
        return item.spec().speculative()
                && item.run().filter(run::equals).isPresent()
                && run.phase() != Run.Phase.RECORDING
                && !run.isStopping()
                && item.restarts() < MAX_RESTARTS;
    }

    private boolean isRestartFaster(Run run) {
        WorkItem item = run.item();
        if (run.phase() != Run.Phase.RUNNING
                || run.isStopping()
                || item.run().filter(run::equals).isEmpty()
                || item.spec().longRunning()
                || item.spec().gang()
                || item.restarts() >= MAX_RESTARTS) {
            return false;
        }
        double elsewhereMs = RESTART_MS + slowServerDetector.usualDurationMs(item);
        return run.remainingMs()
                .filter(remainingMs -> elsewhereMs < remainingMs * (1 - MIN_SAVING_FRACTION))
                .isPresent();
    }

    /** Sets room aside on another server of the same pool. */
    private boolean reserve(
            Run run, TrackedServer source, Predicate<TrackedServer> usable, Map<TrackedServer, Resources> reserved) {
        String pool = source.listing().orElseThrow().pool();
        Resources needed = run.item().spec().reserved();
        for (TrackedServer candidate : runRegistry.servers()) {
            boolean inPool = candidate
                    .listing()
                    .filter(listing -> listing.pool().equals(pool))
                    .isPresent();
            if (inPool && usable.test(candidate) && PlacementRound.hasRequiredLabel(run.item(), candidate)) {
                Resources total =
                        reserved.getOrDefault(candidate, Resources.NONE).plus(needed);
                if (total.fitsInto(candidate.free())) {
                    reserved.put(candidate, total);
                    return true;
                }
            }
        }
        return false;
    }
}

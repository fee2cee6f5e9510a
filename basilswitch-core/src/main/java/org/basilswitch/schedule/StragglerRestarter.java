package org.basilswitch.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.basilswitch.event.EventCode;
import org.basilswitch.job.Resources;

/**
 * Restarts work items that a slow backend server would complete late, if another server of the pool has free capacity
 * and would complete them sooner from the beginning. The first run is stopped, or continues as a copy if the step
 * allows copies; such steps are also restarted when the server is silent.
 */
final class StragglerRestarter {
    /** Time for the stop, its report, storing the record and the new start, in ms; a stop alone may take 200 ms. */
    private static final double RESTART_MS = 400;
    /**
     * Minimum fraction of the remaining time that a restart has to save, as progress is reported in whole percent and
     * durations are estimates.
     */
    private static final double MIN_SAVING_FRACTION = 0.25;
    /** Silence after which a server may have crashed; a lease renewal is answered within 0.9 s. */
    private static final Duration MAX_SILENCE = Duration.ofMillis(1300);
    /** Maximum number of restarts of a work item; an item that was slow on several servers is slow itself. */
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
     * Restarts late runs of slow servers on other servers, and starts copies of the runs of silent servers.
     *
     * @param usable returns whether a server may get new work
     */
    void restart(Predicate<TrackedServer> usable) {
        long nowNanos = context.holderClock().monotonicNanos();
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

    /** Returns whether a second run may be started while this one may continue. */
    private static boolean mayHaveCopy(Run run) {
        WorkItem item = run.item();
        // A copy of long-running work would never end, and a gang can't be started in part.
        return item.spec().speculative()
                && !item.spec().longRunning()
                && !item.spec().gang()
                && item.run().filter(run::equals).isPresent()
                && run.phase() != Run.Phase.RECORDING
                && !run.isStopping()
                && item.restarts() < MAX_RESTARTS;
    }

    /** Returns whether restarting the run on another server saves enough of its remaining time. */
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

    /** Reserves capacity on another server of the same pool; returns whether there is one. */
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

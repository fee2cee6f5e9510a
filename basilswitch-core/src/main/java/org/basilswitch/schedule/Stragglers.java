package org.basilswitch.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.basilswitch.event.EventCode;
import org.basilswitch.job.Resources;

/**
 * Stops runs that a slow backend server would end late, where another server of the pool has room and would do the work
 * item sooner from the beginning.
 */
final class Stragglers {
    /** Time for the stop, its report, the record and the new start, ms; a stop alone may take 200 ms. */
    private static final double RESTART_MS = 400;
    /** A restart has to save this part of what is left, as progress comes in whole percent. */
    private static final double LEAST_SAVING = 0.25;
    /** A work item that was slow on several servers is slow itself. */
    private static final int MOST_RESTARTS = 2;

    private final SchedulerContext context;
    private final RunBook book;
    private final RunKeeper keeper;
    private final ServerSpeed speed;

    Stragglers(SchedulerContext context, RunBook book, RunKeeper keeper, ServerSpeed speed) {
        this.context = context;
        this.book = book;
        this.keeper = keeper;
        this.speed = speed;
    }

    /**
     * Stops the runs that are to be started elsewhere.
     *
     * @param usable whether a server may get new work
     */
    void restart(Predicate<ServerState> usable) {
        long nowNanos = context.clock().monotonicNanos();
        Map<ServerState, Resources> promised = new HashMap<>();
        for (ServerState slow : book.servers()) {
            if (slow.slow(nowNanos) && slow.view().isPresent()) {
                for (Run run : slow.runs()) {
                    if (saves(run) && reserve(run, slow, usable, promised)) {
                        run.item().countRestart();
                        context.telemetry().event(EventCode.RUN_RESTARTED, "run=" + run + " percent=" + run.percent());
                        keeper.stop(run);
                    }
                }
            }
        }
    }

    private boolean saves(Run run) {
        WorkItem item = run.item();
        if (run.phase() != Run.Phase.RUNNING
                || run.stopping()
                || item.spec().longRunning()
                || item.spec().gang()
                || item.restarts() >= MOST_RESTARTS) {
            return false;
        }
        double elsewhereMs = RESTART_MS + speed.usualMs(item);
        return run.remainingMs()
                .filter(remainingMs -> elsewhereMs < remainingMs * (1 - LEAST_SAVING))
                .isPresent();
    }

    /** Sets room aside on another server of the same pool. */
    private boolean reserve(
            Run run, ServerState slow, Predicate<ServerState> usable, Map<ServerState, Resources> promised) {
        String pool = slow.view().orElseThrow().pool();
        Resources needed = run.item().spec().reserved();
        for (ServerState other : book.servers()) {
            boolean inPool =
                    other.view().filter(view -> view.pool().equals(pool)).isPresent();
            if (inPool && usable.test(other) && PlacementRound.allowed(run.item(), other)) {
                Resources taken = promised.getOrDefault(other, Resources.NONE).plus(needed);
                if (taken.fitsInto(other.free())) {
                    promised.put(other, taken);
                    return true;
                }
            }
        }
        return false;
    }
}

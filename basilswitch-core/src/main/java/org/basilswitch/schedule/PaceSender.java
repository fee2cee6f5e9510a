package org.basilswitch.schedule;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;

/** Sends the pace changes that the reports of servers require. */
final class PaceSender {
    private final SchedulerContext context;
    private final PaceController paceController = new PaceController();

    PaceSender(SchedulerContext context) {
        this.context = context;
    }

    /** Sends the pace changes that the newest report of a server requires. */
    void adjust(TrackedServer tracked) {
        Optional<BackendServer> server = tracked.listing();
        for (PaceController.PaceChange change :
                paceController.changes(tracked, context.holderClock().monotonicNanos())) {
            change.run().setPacePercent(change.percent());
            server.ifPresent(listing -> send(listing, tracked.fencingToken(), change));
        }
    }

    private void send(BackendServer server, long fencingToken, PaceController.PaceChange change) {
        Run run = change.run();
        CompletionStage<ServerCommands.CommandResult> call =
                context.serverCommands().setPace(server, fencingToken, run.id(), run.number(), change.percent());
        Completions.thenAcceptOrLog(call, context.telemetry(), "pace", result -> {
            if (!(result instanceof ServerCommands.Done)) {
                context.telemetry().event(EventCode.PACE_FAILED, "run=" + run + " result=" + result);
                run.setPacePercent(Run.UNKNOWN_PACE_PERCENT);
            }
        });
    }
}

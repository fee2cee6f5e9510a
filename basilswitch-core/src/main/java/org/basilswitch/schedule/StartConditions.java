package org.basilswitch.schedule;

import java.util.Optional;

import org.basilswitch.evacuation.EvacuationFollower;

/** Decides whether the start command of a run may still be sent once the run's record is stored. */
final class StartConditions {
    private final RunRegistry runRegistry;
    private final TeamLimits teamLimits;
    private final EvacuationFollower evacuations;

    StartConditions(RunRegistry runRegistry, TeamLimits teamLimits, EvacuationFollower evacuations) {
        this.runRegistry = runRegistry;
        this.teamLimits = teamLimits;
        this.evacuations = evacuations;
    }

    /**
     * Returns whether the job of a run is open, its server takes new work and its team's limit, which may have been
     * lowered meanwhile, allows the run; for a gang, the servers and the work of all members.
     */
    boolean areMet(Run run) {
        boolean takesWork = runRegistry
                .server(run.incarnation())
                .filter(server -> !server.isEnded())
                .flatMap(TrackedServer::listing)
                .filter(listing -> !listing.draining())
                .isPresent();
        return takesWork
                && run.item().job().isOpen()
                && !isEvacuated(run)
                && !isGangMemberEvacuated(run)
                && teamLimits.stillAllowStart(run);
    }

    private boolean isGangMemberEvacuated(Run run) {
        return run.item().spec().gang()
                && run.item().job().stepOf(run.id()).stream()
                        .map(WorkItem::run)
                        .flatMap(Optional::stream)
                        .anyMatch(member -> member.number() == run.number() && isEvacuated(member));
    }

    private boolean isEvacuated(Run run) {
        return runRegistry
                .server(run.incarnation())
                .flatMap(TrackedServer::listing)
                .filter(listing -> evacuations.isEvacuated(listing.zone()))
                .isPresent();
    }
}

package org.basilswitch.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Recorded runs whose tickets expired before their start was sent, as the store was slow. They keep their place until the
 * tickets are renewed: placed and recorded again, they would lose their tickets in the same way.
 */
final class StartsAwaitingTickets {
    private final RunSupervisor.Owner owner;
    /** Time since which each run waits, ns. */
    private final Map<Run, Long> sinceNanos = new LinkedHashMap<>();

    StartsAwaitingTickets(RunSupervisor.Owner owner) {
        this.owner = owner;
    }

    /**
     * Returns whether a run is not to be started yet, as it or another member of its gang lacks a ticket. All members
     * start together, since a server ends a run that waits for the others.
     */
    boolean await(Run run, long nowNanos) {
        if (membersToStart(run).noneMatch(owner::lacksTicket)) {
            return false;
        }
        long waitsSinceNanos = sinceNanos.computeIfAbsent(run, key -> nowNanos);
        return owner.awaitTicket(run, waitsSinceNanos);
    }

    private static Stream<Run> membersToStart(Run run) {
        return run.item().spec().gang()
                ? run.item().job().stepOf(run.id()).stream()
                        .flatMap(member -> member.run().stream())
                        .filter(member -> member.number() == run.number() && member.phase() == Run.Phase.RECORDING)
                : Stream.of(run);
    }

    /** Tries to start each run again. */
    void retry(Consumer<Run> start) {
        for (Run run : List.copyOf(sinceNanos.keySet())) {
            start.accept(run);
            boolean recorded = run.phase() == Run.Phase.RECORDING
                    && run.item().run().filter(run::equals).isPresent();
            if (!recorded) {
                sinceNanos.remove(run);
            }
        }
    }
}

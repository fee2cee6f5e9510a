package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.job.ItemId;

/**
 * Start commands without an answer, by server identifier, for as long as they may still be carried out. A server that has
 * rejected or stopped such a run forgets that when it restarts, so that its next incarnation has to be told again.
 */
final class UnansweredStarts {
    private final Duration maxDelay;
    private final Map<String, List<Start>> byServerId = new HashMap<>();

    /**
     * A start command.
     *
     * @param item work item
     * @param run number of the run
     * @param sentSteadyNanos steady time of the sending, ns
     */
    record Start(ItemId item, int run, long sentSteadyNanos) {}

    /** Creates an empty collection; the delay is the longest one with which a command may be carried out. */
    UnansweredStarts(Duration maxDelay) {
        this.maxDelay = maxDelay;
    }

    void add(String serverId, Start start) {
        byServerId.computeIfAbsent(serverId, id -> new ArrayList<>()).add(start);
    }

    /** Returns whether a start may still be carried out. */
    boolean mayBeCarriedOut(Start start, long nowSteadyNanos) {
        return nowSteadyNanos - start.sentSteadyNanos() <= maxDelay.toNanos();
    }

    /** Returns the starts that a server with this identifier may still carry out, and forgets all older ones. */
    List<Start> of(String serverId, long nowSteadyNanos) {
        byServerId.values().removeIf(starts -> {
            starts.removeIf(start -> !mayBeCarriedOut(start, nowSteadyNanos));
            return starts.isEmpty();
        });
        return List.copyOf(byServerId.getOrDefault(serverId, List.of()));
    }
}

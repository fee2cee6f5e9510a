package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The service that knows which backend servers may run a step, on queues whose policy asks for it. */
public interface AdviceService {

    /** Asks which of some servers may run a step; empty when no answer came or the service is too busy. */
    CompletionStage<Optional<TicketGrant>> requestTickets(String step, List<String> serverIds);

    /**
     * Permissions for a step.
     *
     * @param tickets ticket by server; servers that are not named may not run the step
     * @param validity how long the tickets may be used
     */
    record TicketGrant(Map<String, String> tickets, Duration validity) {
        /** Copies the map. */
        public TicketGrant {
            tickets = Map.copyOf(tickets);
        }
    }
}

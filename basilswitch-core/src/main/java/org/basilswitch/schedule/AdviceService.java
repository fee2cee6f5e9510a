package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Client of the advice service, which decides which backend servers may run a step, for queues that require advice. */
public interface AdviceService {

    /** Requests tickets for a step on the given servers; empty when there is no answer or the service is too busy. */
    CompletionStage<Optional<TicketGrant>> requestTickets(String step, List<String> serverIds);

    /**
     * Tickets that permit servers to run a step.
     *
     * @param tickets ticket by server identifier; servers without a ticket may not run the step
     * @param validity time for which the tickets may be used
     */
    record TicketGrant(Map<String, String> tickets, Duration validity) {
        /** Makes an immutable copy of the tickets. */
        public TicketGrant {
            tickets = Map.copyOf(tickets);
        }
    }
}

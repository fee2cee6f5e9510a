package org.basilswitch.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/** Client of the advice service, which decides which backend servers may run a step, for queues that require advice. */
public interface AdviceService {

    /**
     * Requests tickets for a step on the given servers.
     *
     * @param timeLimit longest time to wait for an answer
     */
    CompletionStage<Answer> requestTickets(String step, List<String> serverIds, Duration timeLimit);

    /** Answer to a call. */
    sealed interface Answer {}

    /**
     * Tickets that permit servers to run a step.
     *
     * @param tickets ticket by server identifier; servers without a ticket may not run the step
     * @param validity time for which the tickets may be used
     */
    record TicketGrant(Map<String, String> tickets, Duration validity) implements Answer {
        /** Makes an immutable copy of the tickets. */
        public TicketGrant {
            tickets = Map.copyOf(tickets);
        }
    }

    /** The service has too many waiting calls and has not taken this one. */
    record Busy() implements Answer {}

    /** There was no answer within the time limit, or none that can be used. */
    record NoAnswer() implements Answer {}
}

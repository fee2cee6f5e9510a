package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.event.Completions;

/** Requests and caches the advice service's tickets for the steps that require them. */
final class TicketCache {
    /** Maximum number of concurrent calls; the service handles the calls of one host sequentially. */
    private static final int MAX_CONCURRENT_CALLS = 3;
    /** Maximum number of servers in one call; the service takes time for each of them. */
    private static final int MAX_SERVERS_PER_CALL = 30;
    /** Part of a ticket's validity that is reserved for storing the run's record and starting the run. */
    private static final Duration START_ALLOWANCE = Duration.ofMillis(600);

    /** Delay before a step is requested again after no answer or a busy service. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final SchedulerContext context;
    private final Runnable onTicketsChanged;
    private final Map<String, Tickets> byStep = new HashMap<>();
    private final Set<String> requestedSteps = new HashSet<>();
    private final Map<String, Long> pausedUntilNanos = new HashMap<>();

    private record Tickets(Map<String, String> byServer, long untilNanos) {}

    TicketCache(SchedulerContext context, Runnable onTicketsChanged) {
        this.context = context;
        this.onTicketsChanged = onTicketsChanged;
    }

    /** Returns the ticket for a step on a server, if there is one that is valid for long enough. */
    Optional<String> ticket(String step, String serverId) {
        Tickets tickets = byStep.get(step);
        boolean valid = tickets != null && context.holderClock().monotonicNanos() < tickets.untilNanos();
        return valid ? Optional.ofNullable(tickets.byServer().get(serverId)) : Optional.empty();
    }

    /** Requests a step's tickets unless they are cached or already requested. */
    void request(String step, List<TrackedServer> servers) {
        long nowNanos = context.holderClock().monotonicNanos();
        Tickets tickets = byStep.get(step);
        boolean valid = tickets != null && nowNanos < tickets.untilNanos();
        boolean paused = pausedUntilNanos.getOrDefault(step, Long.MIN_VALUE) > nowNanos;
        if (valid
                || paused
                || requestedSteps.contains(step)
                || requestedSteps.size() >= MAX_CONCURRENT_CALLS
                || servers.isEmpty()) {
            return;
        }
        List<String> ids = servers.stream()
                .sorted(Comparator.comparingLong(server -> -server.free().cpuMillis()))
                .limit(MAX_SERVERS_PER_CALL)
                .map(server -> server.incarnation().serverId())
                .toList();
        requestedSteps.add(step);
        Completions.thenAcceptOrLog(
                () -> context.adviceService().requestTickets(step, ids),
                context.telemetry(),
                "advice",
                answer -> {
                    requestedSteps.remove(step);
                    long answeredNanos = context.holderClock().monotonicNanos();
                    if (answer.isPresent()) {
                        long validNanos =
                                answer.get().validity().minus(START_ALLOWANCE).toNanos();
                        byStep.put(step, new Tickets(answer.get().tickets(), nowNanos + validNanos));
                    } else {
                        pausedUntilNanos.put(step, answeredNanos + RETRY_DELAY.toNanos());
                    }
                    onTicketsChanged.run();
                },
                () -> {
                    requestedSteps.remove(step);
                    pausedUntilNanos.put(step, context.holderClock().monotonicNanos() + RETRY_DELAY.toNanos());
                    onTicketsChanged.run();
                });
    }

    /** Removes the tickets of a job. */
    void removeJob(String job) {
        byStep.keySet().removeIf(step -> step.startsWith(job + "."));
        pausedUntilNanos.keySet().removeIf(step -> step.startsWith(job + "."));
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;

/**
 * Requests and caches the advice service's tickets for the steps that require them.
 *
 * <p>The service handles the calls of one host one after another, so that one call is in progress at a time: the time at
 * which it was sent is the earliest at which the validity of its tickets can begin.
 */
final class TicketCache {
    /** Delay before the next call after no answer or a busy service. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final SchedulerContext context;
    private final Runnable onTicketsChanged;
    private final Map<String, StepTickets> byStep = new HashMap<>();
    private final AdviceCallSize callSize = new AdviceCallSize();
    private final List<TicketNeed> needs = new ArrayList<>();
    private boolean callInProgress;
    private long pausedUntilNanos = Long.MIN_VALUE;

    TicketCache(SchedulerContext context, Runnable onTicketsChanged) {
        this.context = context;
        this.onTicketsChanged = onTicketsChanged;
    }

    /** Returns the ticket for a step on a server, if there is one that is valid for long enough. */
    Optional<String> ticket(String step, BackendServer.Incarnation server) {
        return Optional.ofNullable(byStep.get(step))
                .flatMap(tickets -> tickets.ticket(server, context.holderClock().monotonicNanos()));
    }

    /** Forgets a ticket that a server has rejected. */
    void removeTicket(String step, BackendServer.Incarnation server) {
        Optional.ofNullable(byStep.get(step)).ifPresent(tickets -> tickets.removeTicket(server));
    }

    /** Adds a step that waits for tickets, for the next call. */
    void addNeed(TicketNeed need) {
        needs.add(need);
    }

    /**
     * Makes the call that is of most use to the steps added since the last one, unless a call is in progress. Steps that
     * may start are served first, and among equals the one whose last call is the longest ago.
     */
    void requestNext() {
        long nowNanos = context.holderClock().monotonicNanos();
        if (!callInProgress && nowNanos >= pausedUntilNanos) {
            needs.stream()
                    .map(need -> request(need, nowNanos))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparing((Call call) -> call.request().purpose())
                            .thenComparingLong(call -> call.tickets().lastCallNanos()))
                    .ifPresent(call -> send(call, nowNanos));
        }
        needs.clear();
    }

    private record Call(String step, StepTickets tickets, StepTickets.Request request) {}

    private Optional<Call> request(TicketNeed need, long nowNanos) {
        StepTickets tickets = byStep.computeIfAbsent(need.step(), step -> new StepTickets());
        boolean firstCall = tickets.lastCallNanos() == Long.MIN_VALUE;
        return tickets.nextRequest(
                        need,
                        callSize.forExploration(firstCall),
                        callSize.forRenewal(need.spec().gang()),
                        nowNanos)
                .map(request -> new Call(need.step(), tickets, request));
    }

    private void send(Call call, long sentNanos) {
        List<TrackedServer> servers = call.request().servers();
        List<String> ids =
                servers.stream().map(server -> server.incarnation().serverId()).toList();
        callInProgress = true;
        call.tickets().onCall(sentNanos);
        Completions.thenAcceptOrLog(
                () -> context.adviceService().requestTickets(call.step(), ids),
                context.telemetry(),
                "advice",
                answer -> {
                    answer.ifPresentOrElse(grant -> onAnswer(call, grant, sentNanos), () -> onNoAnswer(servers.size()));
                    onTicketsChanged.run();
                },
                () -> {
                    onNoAnswer(servers.size());
                    onTicketsChanged.run();
                });
    }

    private void onAnswer(Call call, AdviceService.TicketGrant grant, long sentNanos) {
        callInProgress = false;
        List<TrackedServer> servers = call.request().servers();
        Duration took = Duration.ofNanos(context.holderClock().monotonicNanos() - sentNanos);
        callSize.onAnswer(servers.size(), took, grant.validity());
        call.tickets()
                .onAnswer(
                        servers,
                        grant.tickets(),
                        sentNanos + AdviceCallSize.usableTime(grant.validity()).toNanos());
        context.telemetry()
                .count(CounterCode.ADVICE_CALLS, call.request().purpose().name());
        context.telemetry()
                .event(
                        EventCode.ADVICE_ANSWERED,
                        "step=" + call.step() + " purpose=" + call.request().purpose() + " servers=" + servers.size()
                                + " allowed=" + grant.tickets().size() + " tookMs=" + took.toMillis());
    }

    private void onNoAnswer(int servers) {
        callInProgress = false;
        callSize.onNoAnswer(servers);
        context.telemetry().count(CounterCode.ADVICE_CALLS, "NO_ANSWER");
        pausedUntilNanos = context.holderClock().monotonicNanos() + RETRY_DELAY.toNanos();
    }

    /** Removes the tickets of a job. */
    void removeJob(String job) {
        byStep.keySet().removeIf(step -> step.startsWith(job + "."));
    }
}

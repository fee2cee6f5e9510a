package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;

/**
 * Requests and caches the advice service's tickets for the steps that require them.
 *
 * <p>The service handles the calls of one host one after another, so that one call is in progress at a time: later ones
 * would wait there, and it would not be known how long their tickets have been valid. Only beside an overdue call, which
 * may have been lost, a second one is made for another step.
 */
final class TicketCache {
    /** Delay before the next call after no answer or a busy service. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final SchedulerContext context;
    private final Runnable onTicketsChanged;
    private final AdviceDelayReport delayReport;
    private final Map<String, StepTickets> byStep = new HashMap<>();
    private final Map<String, QueueAdvice> byQueue = new HashMap<>();
    private final TicketLifetime lifetime = new TicketLifetime();
    private final List<TicketNeed> needs = new ArrayList<>();
    private final Map<String, Set<BackendServer.Incarnation>> recorded = new LinkedHashMap<>();
    /** Calls in progress, and the time from which each is overdue, ns. */
    private final Map<Call, Long> inProgress = new HashMap<>();

    private long pausedUntilNanos = Long.MIN_VALUE;

    TicketCache(SchedulerContext context, Runnable onTicketsChanged) {
        this.context = context;
        this.onTicketsChanged = onTicketsChanged;
        this.delayReport = new AdviceDelayReport(context.telemetry());
    }

    /** Returns whether a run of a step may be placed on a server: whether there is a ticket that is valid for long enough. */
    boolean allowsPlacement(String step, BackendServer.Incarnation server) {
        long nowNanos = nowNanos();
        return find(step, server)
                .filter(ticket -> lifetime.isUsableForPlacement(ticket, nowNanos))
                .isPresent();
    }

    /** Returns the ticket with which a run of a step may be started on a server now. */
    Optional<String> ticketForStart(String step, BackendServer.Incarnation server) {
        long nowNanos = nowNanos();
        return find(step, server)
                .filter(ticket -> lifetime.isUsableForStart(ticket, nowNanos))
                .map(Ticket::value);
    }

    private Optional<Ticket> find(String step, BackendServer.Incarnation server) {
        return Optional.ofNullable(byStep.get(step)).flatMap(tickets -> tickets.ticket(server));
    }

    /** Records that a server has accepted a start that was sent at a time. */
    void onAccepted(String step, BackendServer.Incarnation server, long sentNanos) {
        Optional.ofNullable(byStep.get(step)).ifPresent(tickets -> {
            tickets.ticket(server).ifPresent(ticket -> lifetime.onAccepted(ticket, sentNanos));
            tickets.onAccepted();
        });
    }

    /** Forgets a ticket that a server has rejected. */
    void onRejected(String step, BackendServer.Incarnation server) {
        Optional.ofNullable(byStep.get(step)).ifPresent(tickets -> {
            tickets.ticket(server).ifPresent(ticket -> lifetime.onRejected(ticket, nowNanos()));
            tickets.onRejected(server, nowNanos());
        });
    }

    /** Adds a step that waits for tickets, for the next call. */
    void addNeed(TicketNeed need) {
        if (!need.servers().isEmpty()) {
            needs.add(need);
        }
    }

    /**
     * Has the next call renew the ticket of a run that is recorded, and that has waited since a time.
     *
     * @return whether the run may go on waiting; false if no ticket came for it
     */
    boolean awaitTicket(String step, BackendServer.Incarnation server, long sinceNanos) {
        StepTickets tickets = byStep.get(step);
        if (tickets == null || tickets.isInVain(server, sinceNanos)) {
            return false;
        }
        recorded.computeIfAbsent(step, name -> new LinkedHashSet<>()).add(server);
        return true;
    }

    /** Makes the call that is of most use to the steps added since the last one, unless a call is in progress. */
    void requestNext() {
        long nowNanos = nowNanos();
        List<Waiting> waiting = waitingSteps(nowNanos);
        delayReport.update(waiting.stream().map(Waiting::tickets).toList(), nowNanos);
        boolean mayCall = inProgress.isEmpty()
                || inProgress.size() == 1
                        && inProgress.values().stream().allMatch(overdueNanos -> nowNanos >= overdueNanos);
        if (mayCall && nowNanos >= pausedUntilNanos) {
            nextRecordedCall().or(() -> nextCall(waiting, nowNanos)).ifPresent(call -> send(call, nowNanos));
        }
        needs.clear();
        recorded.clear();
    }

    private record Waiting(TicketNeed need, StepTickets tickets) {
        private boolean isExploring() {
            return tickets.asked() < need.servers().size();
        }
    }

    private record Call(String step, StepTickets tickets, StepTickets.Request request) {
        private boolean isOfMoreUseThan(Call other) {
            return request.purpose().compareTo(other.request.purpose()) < 0;
        }
    }

    private List<Waiting> waitingSteps(long nowNanos) {
        return needs.stream()
                .map(need -> new Waiting(
                        need,
                        byStep.computeIfAbsent(need.step(), step -> new StepTickets(queueAdvice(need), nowNanos))))
                .sorted(Comparator.comparingLong(
                        (Waiting waiting) -> waiting.tickets().waitingSinceNanos()))
                .toList();
    }

    private QueueAdvice queueAdvice(TicketNeed need) {
        return byQueue.compute(
                need.queue(),
                (queue, known) -> known != null && known.stated().equals(need.times())
                        ? known
                        : QueueAdvice.of(need.times(), lifetime));
    }

    private Optional<Call> nextRecordedCall() {
        return recorded.keySet().stream()
                .filter(step -> mayCall(byStep.get(step)))
                .min(Comparator.comparingLong(step -> byStep.get(step).waitingSinceNanos()))
                .flatMap(step -> byStep.get(step)
                        .recordedRequest(recorded.get(step))
                        .map(request -> new Call(step, byStep.get(step), request)));
    }

    /**
     * Returns the call for a step that may start, else the one of most use; among equals, for the step that has waited
     * longest since its last call or, if there was none, since its first need.
     */
    private Optional<Call> nextCall(List<Waiting> waitingSteps, long nowNanos) {
        int exploringSteps =
                (int) waitingSteps.stream().filter(Waiting::isExploring).count();
        Call best = null;
        for (Waiting waiting : waitingSteps) {
            Optional<Call> call = call(waiting, exploringSteps, nowNanos);
            if (call.isPresent() && (best == null || call.get().isOfMoreUseThan(best))) {
                best = call.get();
            }
            if (best != null && best.request().purpose() == StepTickets.Purpose.START) {
                break;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean mayCall(StepTickets tickets) {
        return inProgress.isEmpty() || tickets.mayCallBesideOverdueOne();
    }

    private Optional<Call> call(Waiting waiting, int exploringSteps, long nowNanos) {
        StepTickets tickets = waiting.tickets();
        if (tickets.isPaused(nowNanos) || !mayCall(tickets)) {
            return Optional.empty();
        }
        return tickets.nextRequest(waiting.need(), exploringSteps, lifetime, nowNanos)
                .map(request -> new Call(waiting.need().step(), tickets, request));
    }

    private void send(Call call, long sentNanos) {
        List<String> ids = call.request().servers().stream()
                .map(BackendServer.Incarnation::serverId)
                .toList();
        AdviceCallSize callSize = call.tickets().advice().callSize();
        inProgress.put(call, sentNanos + callSize.overdueTime(ids.size()).toNanos());
        call.tickets().onCall(call.request(), sentNanos);
        Duration timeLimit = callSize.timeLimit(ids.size());
        Completions.thenAcceptOrLog(
                () -> context.adviceService().requestTickets(call.step(), ids, timeLimit),
                context.telemetry(),
                "advice",
                answer -> onAnswer(call, answer, sentNanos),
                () -> onAnswer(call, new AdviceService.NoAnswer(), sentNanos));
    }

    private void onAnswer(Call call, AdviceService.Answer answer, long sentNanos) {
        inProgress.remove(call);
        String result = switch (answer) {
            case AdviceService.TicketGrant grant -> {
                onGrant(call, grant, sentNanos);
                yield call.request().purpose().name();
            }
            case AdviceService.Busy busy -> {
                call.tickets().onBusy();
                pausedUntilNanos = nowNanos() + RETRY_DELAY.toNanos();
                yield "BUSY";
            }
            case AdviceService.NoAnswer noAnswer -> {
                pausedUntilNanos = nowNanos() + RETRY_DELAY.toNanos();
                call.tickets().advice().callSize().onNoAnswer();
                call.tickets().onNoAnswer(nowNanos());
                yield "NO_ANSWER";
            }
        };
        context.telemetry().count(CounterCode.ADVICE_CALLS, result);
        onTicketsChanged.run();
    }

    private void onGrant(Call call, AdviceService.TicketGrant grant, long sentNanos) {
        List<BackendServer.Incarnation> servers = call.request().servers();
        Duration took = Duration.ofNanos(nowNanos() - sentNanos);
        QueueAdvice advice = call.tickets().advice();
        advice.callSize().onAnswer(servers.size(), took, grant.validity());
        advice.allowedShare()
                .onAnswer(
                        servers.stream()
                                .map(BackendServer.Incarnation::serverId)
                                .toList(),
                        grant.tickets().keySet());
        call.tickets().onAnswer(servers, grant.tickets(), advice.callSize().validity(), nowNanos());
        context.telemetry()
                .event(
                        EventCode.ADVICE_ANSWERED,
                        "step=" + call.step() + " purpose=" + call.request().purpose() + " servers=" + servers.size()
                                + " allowed=" + grant.tickets().size() + " tookMs=" + took.toMillis());
    }

    private long nowNanos() {
        return context.holderClock().monotonicNanos();
    }

    /** Removes the tickets of a job. */
    void removeJob(String job) {
        byStep.keySet().removeIf(step -> step.startsWith(job + "."));
        recorded.keySet().retainAll(byStep.keySet());
    }
}

package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import org.basilswitch.job.AdviceTimes;
import org.basilswitch.job.ItemId;
import org.basilswitch.schedule.AdviceService;
import org.basilswitch.schedule.BackendServer;
import org.basilswitch.time.SimulatedTime;

/** The advice service: it answers the calls of each host in turn, and servers accept the tickets that it has issued. */
final class AdviceModel {
    private static final int MAX_SERVERS_PER_CALL = 100;
    private static final int MAX_WAITING_CALLS = 32;

    Duration decideTime = Duration.ofMillis(20);
    Duration timePerServer = Duration.ofMillis(1);
    Duration validity = Duration.ofMillis(3000);
    /** Returns whether a step may run on a server. */
    BiPredicate<String, String> policy = (step, server) -> true;
    /** Whether the validity of tickets begins with the call rather than with the answer. */
    boolean validFromCall;
    /** Whether calls are turned away, as too many wait. */
    boolean busy;
    /** Steps whose calls are never answered. */
    Predicate<String> unansweredSteps = step -> false;
    /** Steps whose tickets servers reject. */
    Predicate<String> uselessSteps = step -> false;
    /** Servers that reject every ticket. */
    Predicate<String> rejectingServers = server -> false;
    /** Calls in the order in which they were made, as step and servers. */
    final List<Call> calls = new ArrayList<>();

    final List<String> violations = new ArrayList<>();
    int rejectedStarts;
    int unanswered;
    int mostWaitingCalls;

    private final SimulatedTime time;
    private final FleetModel fleet;
    /** Time until which each ticket is valid, ns. */
    private final Map<String, Long> issued = new HashMap<>();

    record Call(String step, List<String> servers) {}

    private AdviceModel(SimulatedTime time, FleetModel fleet) {
        this.time = time;
        this.fleet = fleet;
    }

    static AdviceModel create(SimulatedTime time, FleetModel fleet) {
        return new AdviceModel(time, fleet);
    }

    /** Has the servers reject starts without a ticket. */
    void checkTickets() {
        fleet.setTicketPolicy((item, ticket, server) -> {
            boolean valid = !uselessSteps.test(item.stepName())
                    && !rejectingServers.test(server.id())
                    && ticket.map(issued::get)
                            .filter(untilNanos -> time.monotonicNanos() < untilNanos)
                            .isPresent()
                    && ticket.get().equals(ticket(item.stepName(), server));
            rejectedStarts += valid ? 0 : 1;
            return valid;
        });
    }

    private static String ticket(String step, BackendServer server) {
        return step + "@" + server.id() + "/" + server.startedAtMs();
    }

    /** Returns the number of calls in which a step's server was named. */
    long callsAbout(ItemId item, String server) {
        return calls.stream()
                .filter(call ->
                        call.step().equals(item.stepName()) && call.servers().contains(server))
                .count();
    }

    /** Returns the times as the operator states them. */
    AdviceTimes times() {
        return new AdviceTimes(decideTime.toMillis(), timePerServer.toMillis(), validity.toMillis());
    }

    /** Returns the service as one host calls it. */
    AdviceService forHost(NodeTime hostTime) {
        return new HostQueue(hostTime);
    }

    private final class HostQueue implements AdviceService {
        private final NodeTime hostTime;
        private int waitingCalls;
        private long busyUntilNanos;

        private HostQueue(NodeTime hostTime) {
            this.hostTime = hostTime;
        }

        @Override
        public CompletionStage<Answer> requestTickets(String step, List<String> serverIds, Duration timeLimit) {
            CompletableFuture<Answer> answer = new CompletableFuture<>();
            calls.add(new Call(step, serverIds));
            if (serverIds.size() > MAX_SERVERS_PER_CALL || Set.copyOf(serverIds).size() < serverIds.size()) {
                violations.add("call for " + step + " with " + serverIds.size() + " servers");
            }
            if (busy || waitingCalls >= MAX_WAITING_CALLS) {
                return CompletableFuture.completedFuture(new Busy());
            }
            waitingCalls++;
            long sentNanos = time.monotonicNanos();
            mostWaitingCalls = Math.max(mostWaitingCalls, waitingCalls);
            busyUntilNanos = Math.max(busyUntilNanos, time.monotonicNanos())
                    + decideTime
                            .plus(timePerServer.multipliedBy(serverIds.size()))
                            .toNanos();
            time.schedule(Duration.ofNanos(busyUntilNanos - time.monotonicNanos()), () -> {
                waitingCalls--;
                Answer grant = issue(step, serverIds, validFromCall ? sentNanos : time.monotonicNanos());
                if (!unansweredSteps.test(step)) {
                    hostTime.deliver(() -> answer.complete(grant));
                }
            });
            hostTime.schedule(timeLimit, () -> unanswered += answer.complete(new NoAnswer()) ? 1 : 0);
            return answer;
        }
    }

    private AdviceService.TicketGrant issue(String step, List<String> serverIds, long beginNanos) {
        Map<String, String> tickets = new HashMap<>();
        for (String id : serverIds) {
            if (fleet.server(id) != null && policy.test(step, id)) {
                String ticket = ticket(step, fleet.server(id).entry());
                tickets.put(id, ticket);
                issued.put(ticket, beginNanos + validity.toNanos());
            }
        }
        return new AdviceService.TicketGrant(tickets, validity);
    }
}

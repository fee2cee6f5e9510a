package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * What the advice service has answered about the servers of one step. The policy of a step does not change, so that the
 * tickets of allowed servers are requested again as they expire, and the other servers only after a long time: the service
 * may have answered before it knew a new server.
 */
final class KnownServers {
    /** Time after which a server that was not allowed is asked about again, if nothing else is of use; then doubled. */
    private static final Duration RECHECK_DELAY = Duration.ofSeconds(10);
    /** Number of times that the delay is doubled at most. */
    private static final int MAX_RECHECK_DOUBLINGS = 5;
    /** Score from which servers are ranked by their free capacity alone. */
    private static final double GOOD_SCORE = 2 / 3.0;

    private final Map<BackendServer.Incarnation, Ticket> allowed = new HashMap<>();
    private final Map<BackendServer.Incarnation, Refusal> refused = new HashMap<>();
    /** Number of tickets that each server has rejected. */
    private final Map<BackendServer.Incarnation, Integer> rejections = new HashMap<>();

    private record Refusal(long answeredNanos, int count) {}

    /** Returns the ticket for a server; it may have expired. */
    Optional<Ticket> ticket(BackendServer.Incarnation incarnation) {
        return Optional.ofNullable(allowed.get(incarnation))
                .filter(ticket -> !ticket.value().isEmpty());
    }

    boolean isAllowed(BackendServer.Incarnation incarnation) {
        return allowed.containsKey(incarnation);
    }

    /** Returns the number of servers about which the service has answered. */
    int asked() {
        return allowed.size() + refused.size();
    }

    int allowedCount() {
        return allowed.size();
    }

    /** Records an answer: the tickets of servers that it allows, and the others as not allowed. */
    void onAnswer(
            Collection<BackendServer.Incarnation> servers,
            Function<BackendServer.Incarnation, Optional<Ticket>> tickets,
            long nowNanos) {
        for (BackendServer.Incarnation server : servers) {
            Optional<Ticket> ticket = tickets.apply(server);
            if (ticket.isPresent()) {
                refused.remove(server);
                allowed.put(server, ticket.get());
            } else {
                allowed.remove(server);
                refused.merge(
                        server,
                        new Refusal(nowNanos, 1),
                        (earlier, latest) -> new Refusal(nowNanos, earlier.count() + 1));
            }
        }
    }

    /** Forgets a ticket that a server has rejected; the server remains allowed. */
    void onRejected(BackendServer.Incarnation incarnation) {
        rejections.merge(incarnation, 1, Integer::sum);
        allowed.computeIfPresent(incarnation, (server, ticket) -> ticket.withoutValue());
    }

    /** Forgets all tickets; the servers remain allowed. */
    void dropTickets() {
        allowed.replaceAll((server, ticket) -> ticket.withoutValue());
    }

    /** Servers of a need by what is known of them, each list with the preferred ones first. */
    record Candidates(
            List<TrackedServer> allowedWithRoom,
            List<TrackedServer> rejecting,
            List<TrackedServer> allowedWithoutRoom,
            List<TrackedServer> unaskedWithRoom,
            List<TrackedServer> unaskedWithoutRoom) {

        private static Candidates empty() {
            return new Candidates(
                    new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }

        /** Returns the allowed servers with room, those that reject tickets last. */
        List<TrackedServer> allWithRoom() {
            return Stream.of(allowedWithRoom, rejecting).flatMap(List::stream).toList();
        }
    }

    /** Divides the servers of a need by what is known of them. */
    Candidates candidates(TicketNeed need) {
        Candidates candidates = Candidates.empty();
        for (TrackedServer server : need.servers()) {
            BackendServer.Incarnation incarnation = server.incarnation();
            boolean hasRoom = need.hasRoom().test(server);
            if (allowed.containsKey(incarnation)) {
                List<TrackedServer> withRoom =
                        rejections.containsKey(incarnation) ? candidates.rejecting : candidates.allowedWithRoom;
                (hasRoom ? withRoom : candidates.allowedWithoutRoom).add(server);
            } else if (!refused.containsKey(incarnation)) {
                (hasRoom ? candidates.unaskedWithRoom : candidates.unaskedWithoutRoom).add(server);
            }
        }
        sort(candidates.allowedWithRoom, need.preference());
        candidates.rejecting.sort(Comparator.comparingInt(server -> rejections.get(server.incarnation())));
        return candidates;
    }

    /** Sorts servers by their scores, and good ones by their free capacity, so that work is spread. */
    static void sort(List<TrackedServer> servers, ToDoubleFunction<TrackedServer> score) {
        Map<TrackedServer, Double> ranks = new HashMap<>();
        servers.forEach(server -> ranks.put(server, Math.min(GOOD_SCORE, score.applyAsDouble(server))));
        servers.sort(Comparator.comparingDouble((TrackedServer server) -> -ranks.get(server))
                .thenComparingLong(server -> -server.free().cpuMillis()));
    }

    /** Returns the servers without a ticket with which a run may be placed. */
    List<BackendServer.Incarnation> expired(List<TrackedServer> servers, TicketLifetime lifetime, long nowNanos) {
        return servers.stream()
                .map(TrackedServer::incarnation)
                .filter(server -> ticket(server)
                        .filter(ticket -> lifetime.isUsableForPlacement(ticket, nowNanos))
                        .isEmpty())
                .toList();
    }

    /** Returns the refused servers that are to be asked about again, first those refused longest ago. */
    List<BackendServer.Incarnation> dueForRecheck(TicketNeed need, long nowNanos) {
        return need.servers().stream()
                .map(TrackedServer::incarnation)
                .filter(server -> isDueForRecheck(server, nowNanos))
                .sorted(Comparator.comparingLong(server -> refused.get(server).answeredNanos()))
                .toList();
    }

    private boolean isDueForRecheck(BackendServer.Incarnation server, long nowNanos) {
        Refusal refusal = refused.get(server);
        return refusal != null
                && nowNanos - refusal.answeredNanos()
                        >= RECHECK_DELAY.toNanos() << Math.min(refusal.count() - 1, MAX_RECHECK_DOUBLINGS);
    }

    /** Returns servers in the order in which their tickets have arrived. */
    List<BackendServer.Incarnation> oldestFirst(Collection<BackendServer.Incarnation> servers) {
        return servers.stream()
                .sorted(Comparator.comparingLong(
                        server -> ticket(server).map(Ticket::answeredNanos).orElse(Long.MIN_VALUE)))
                .toList();
    }
}

package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the advice service has answered about one step. The policy of a step does not change, so that each incarnation of
 * a server is asked about once; only the tickets of allowed servers are requested again, as they expire.
 */
final class StepTickets {
    /** Servers that the service has not been asked about, in the order in which it will be. */
    private final Set<BackendServer.Incarnation> unasked = new LinkedHashSet<>();

    private final Set<BackendServer.Incarnation> asked = new HashSet<>();
    private final Map<BackendServer.Incarnation, Ticket> allowed = new HashMap<>();
    private long lastCallNanos = Long.MIN_VALUE;

    private record Ticket(String value, long untilNanos) {}

    /** What the next call for a step is about, in the order in which steps are served. */
    enum Purpose {
        /** Work items may start on servers with room after the answer. */
        START,
        /** Other servers are asked about before they have room. */
        EXPLORE,
        /** Tickets of allowed servers are kept valid until one of them has room. */
        KEEP
    }

    /** Servers to name in the next call. */
    record Request(Purpose purpose, List<TrackedServer> servers) {}

    /** Returns the time of the last call, ns; the lowest value before the first one. */
    long lastCallNanos() {
        return lastCallNanos;
    }

    /** Returns the ticket for a server, if there is one that is valid for long enough. */
    Optional<String> ticket(BackendServer.Incarnation incarnation, long nowNanos) {
        return Optional.ofNullable(allowed.get(incarnation))
                .filter(ticket -> nowNanos < ticket.untilNanos())
                .map(Ticket::value);
    }

    /** Forgets a ticket that a server has rejected; the server remains allowed. */
    void removeTicket(BackendServer.Incarnation incarnation) {
        allowed.computeIfPresent(incarnation, (key, ticket) -> new Ticket("", Long.MIN_VALUE));
    }

    /** Records that a call is made. */
    void onCall(long nowNanos) {
        lastCallNanos = nowNanos;
    }

    /** Records the answer to a call: the servers that it allows, and the others as not allowed. */
    void onAnswer(List<TrackedServer> servers, Map<String, String> tickets, long untilNanos) {
        for (TrackedServer server : servers) {
            BackendServer.Incarnation incarnation = server.incarnation();
            unasked.remove(incarnation);
            asked.add(incarnation);
            String ticket = tickets.get(incarnation.serverId());
            if (ticket == null) {
                allowed.remove(incarnation);
            } else {
                allowed.put(incarnation, new Ticket(ticket, untilNanos));
            }
        }
    }

    /**
     * Returns the servers to name in the next call; empty if no call is of use.
     *
     * @param maxAsked maximum number of servers to ask about for the first time
     * @param maxRenewed maximum number of servers whose tickets are renewed
     */
    Optional<Request> nextRequest(TicketNeed need, int maxAsked, int maxRenewed, long nowNanos) {
        List<TrackedServer> allowedWithRoom = new ArrayList<>();
        List<TrackedServer> allowedWithoutRoom = new ArrayList<>();
        for (TrackedServer server : byFreeCapacity(need.servers())) {
            BackendServer.Incarnation incarnation = server.incarnation();
            if (!allowed.containsKey(incarnation)) {
                if (!asked.contains(incarnation)) {
                    unasked.add(incarnation);
                }
            } else if (need.hasRoom().test(server)) {
                allowedWithRoom.add(server);
            } else {
                allowedWithoutRoom.add(server);
            }
        }
        return renewal(need, allowedWithRoom, maxRenewed, nowNanos)
                .or(() -> exploration(need, maxAsked))
                .or(() -> request(
                        Purpose.KEEP,
                        allowedWithoutRoom.stream()
                                .filter(server ->
                                        ticket(server.incarnation(), nowNanos).isEmpty())
                                .limit(maxAsked)
                                .toList()));
    }

    private static List<TrackedServer> byFreeCapacity(List<TrackedServer> servers) {
        return servers.stream()
                .sorted(Comparator.comparingLong(server -> -server.free().cpuMillis()))
                .toList();
    }

    /** Renews the tickets that let work items start; for a gang those of all its servers, so that they are valid at once. */
    private Optional<Request> renewal(TicketNeed need, List<TrackedServer> withRoom, int maxRenewed, long nowNanos) {
        List<TrackedServer> chosen = new ArrayList<>();
        int places = 0;
        boolean expired = false;
        for (TrackedServer server : withRoom) {
            boolean enough = need.startCount() > 1 && places >= need.startCount();
            if (enough || chosen.size() >= maxRenewed) {
                break;
            }
            boolean hasTicket = ticket(server.incarnation(), nowNanos).isPresent();
            if (need.startCount() > 1 || !hasTicket) {
                chosen.add(server);
                places += need.places(server);
                expired |= !hasTicket;
            }
        }
        return expired && places >= need.startCount() ? request(Purpose.START, chosen) : Optional.empty();
    }

    /** Asks about further servers, those with room first. */
    private Optional<Request> exploration(TicketNeed need, int maxAsked) {
        List<TrackedServer> withRoom = new ArrayList<>();
        List<TrackedServer> others = new ArrayList<>();
        Map<BackendServer.Incarnation, TrackedServer> byIncarnation = new HashMap<>();
        need.servers().forEach(server -> byIncarnation.put(server.incarnation(), server));
        for (BackendServer.Incarnation incarnation : unasked) {
            TrackedServer server = byIncarnation.get(incarnation);
            if (server != null) {
                (need.hasRoom().test(server) ? withRoom : others).add(server);
            }
        }
        Purpose purpose = withRoom.isEmpty() ? Purpose.EXPLORE : Purpose.START;
        withRoom.addAll(others);
        return request(purpose, withRoom.stream().limit(maxAsked).toList());
    }

    private static Optional<Request> request(Purpose purpose, List<TrackedServer> servers) {
        return servers.isEmpty() ? Optional.empty() : Optional.of(new Request(purpose, servers));
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Decides which call of the advice service is of use to one step, and when calls for the step are to be left out. */
final class StepTickets {
    /** Delay before the next call for the step after one that was of no use; doubled each time. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private static final int MAX_RETRY_DOUBLINGS = 5;
    /** Number of calls that may be needed to have valid tickets for all servers of a gang at once. */
    private static final int CALLS_PER_GANG = 4;

    private final KnownServers known = new KnownServers();
    private final QueueAdvice advice;
    private final long firstNeedNanos;
    private long lastCallNanos;
    private boolean answered;
    private boolean callInProgress;
    /** Monotonic time at which the last call was given up, ns. */
    private Optional<Long> unansweredNanos = Optional.empty();

    private int unansweredCalls;
    /** Starts in a row that were rejected, and calls in a row whose tickets were. */
    private int rejectedStarts;

    private int rejectedCalls;
    private long rejectedCallNanos = Long.MIN_VALUE;
    /** Calls since the last accepted start that renewed tickets of a gang's servers. */
    private int gangRenewals;

    private long pausedUntilNanos = Long.MIN_VALUE;

    /** What the next call for a step is about, in the order in which steps are served. */
    enum Purpose {
        /** Runs that are recorded wait for new tickets before they are started. */
        RECORDED,
        /** Work items may start on servers with room after the answer. */
        START,
        /** Other servers are asked about before they have room. */
        EXPLORE,
        /** Tickets of allowed servers are kept valid until one of them has room. */
        KEEP,
        /** Servers that were not allowed long ago are asked about again. */
        RECHECK
    }

    /**
     * The next call.
     *
     * @param servers servers to name
     * @param renewsGang whether it renews tickets of a gang, all of whose servers are known
     */
    record Request(Purpose purpose, List<BackendServer.Incarnation> servers, boolean renewsGang) {}

    StepTickets(QueueAdvice advice, long nowNanos) {
        this.advice = advice;
        this.firstNeedNanos = nowNanos;
        this.lastCallNanos = nowNanos;
    }

    /** Returns what is known of the step's queue. */
    QueueAdvice advice() {
        return advice;
    }

    /** Returns the time since which the step waits for its turn: its last call or, before the first one, its first need. */
    long waitingSinceNanos() {
        return lastCallNanos;
    }

    /** Returns the time of the step's first need, ns. */
    long firstNeedNanos() {
        return firstNeedNanos;
    }

    /** Returns whether the service has answered a call for the step. */
    boolean isAnswered() {
        return answered;
    }

    /** Returns whether calls for the step are to be left out for now, as the last ones were of no use. */
    boolean isPaused(long nowNanos) {
        return nowNanos < pausedUntilNanos;
    }

    /**
     * Returns how many times in a row there was no answer, servers have rejected the tickets, or the tickets of a gang were
     * not all valid at once.
     */
    int uselessCalls() {
        return Math.max(Math.max(unansweredCalls, rejectedCalls), gangRenewals / CALLS_PER_GANG);
    }

    /** Returns whether a call for the step may be made while an overdue one is in progress. */
    boolean mayCallBesideOverdueOne() {
        return !callInProgress && unansweredCalls == 0;
    }

    /** Returns the ticket for a server; it may have expired. */
    Optional<Ticket> ticket(BackendServer.Incarnation incarnation) {
        return known.ticket(incarnation);
    }

    /** Records that a server has accepted a ticket. */
    void onAccepted() {
        rejectedStarts = 0;
        rejectedCalls = 0;
        gangRenewals = 0;
    }

    /** Forgets a ticket that a server has rejected, and after two in a row all others; the servers remain allowed. */
    void onRejected(BackendServer.Incarnation incarnation, long nowNanos) {
        ticket(incarnation).ifPresent(ticket -> {
            rejectedStarts++;
            advice.allowedShare().onRejected(incarnation.serverId());
            if (ticket.sentNanos() != rejectedCallNanos) {
                rejectedCallNanos = ticket.sentNanos();
                rejectedCalls++;
                // The first rejection in a row may be of a ticket that was too old.
                if (rejectedCalls > 1) {
                    pause(nowNanos, rejectedCalls - 2);
                }
            }
            known.onRejected(incarnation);
            if (rejectedStarts > 1) {
                known.dropTickets();
            }
        });
    }

    private void pause(long nowNanos, int doublings) {
        pausedUntilNanos = nowNanos + RETRY_DELAY.toNanos() * (1L << Math.min(doublings, MAX_RETRY_DOUBLINGS));
    }

    /** Returns whether a ticket that a recorded run has waited for since a time did not come. */
    boolean isInVain(BackendServer.Incarnation incarnation, long sinceNanos) {
        return !known.isAllowed(incarnation)
                || unansweredNanos.filter(nanos -> nanos > sinceNanos).isPresent();
    }

    /** Records that a call is made. */
    void onCall(Request request, long nowNanos) {
        callInProgress = true;
        lastCallNanos = nowNanos;
        gangRenewals += request.renewsGang() ? 1 : 0;
    }

    /** Records that the service has not taken a call. */
    void onBusy() {
        callInProgress = false;
    }

    /** Records that there was no answer to a call. */
    void onNoAnswer(long nowNanos) {
        callInProgress = false;
        unansweredNanos = Optional.of(nowNanos);
        pause(nowNanos, unansweredCalls);
        unansweredCalls++;
    }

    /** Records the answer to a call: the servers that it allows, and the others as not allowed. */
    void onAnswer(
            Collection<BackendServer.Incarnation> servers,
            Map<String, String> tickets,
            Duration validity,
            long nowNanos) {
        callInProgress = false;
        answered = true;
        unansweredCalls = 0;
        known.onAnswer(
                servers,
                server -> Optional.ofNullable(tickets.get(server.serverId()))
                        .map(ticket -> new Ticket(ticket, lastCallNanos, nowNanos, validity)),
                nowNanos);
    }

    /** Returns the call that renews the tickets of servers on which runs are recorded, oldest first. */
    Optional<Request> recordedRequest(Collection<BackendServer.Incarnation> servers) {
        return request(Purpose.RECORDED, known.oldestFirst(servers), evenPart(servers.size()));
    }

    /** Returns the number of servers about which the service has answered. */
    int asked() {
        return known.asked();
    }

    /** Returns the servers to name in the next call; empty if no call is of use. */
    Optional<Request> nextRequest(TicketNeed need, int exploringSteps, TicketLifetime lifetime, long nowNanos) {
        int shared = advice.callSize().shared(asked(), exploringSteps);
        KnownServers.Candidates candidates = known.candidates(need);
        return renewal(need, candidates.allowedWithRoom(), shared, lifetime, nowNanos)
                .or(() -> exploration(need, candidates, shared))
                .or(() -> renewal(need, candidates.allWithRoom(), shared, lifetime, nowNanos))
                .or(() -> request(
                        Purpose.KEEP, known.expired(candidates.allowedWithoutRoom(), lifetime, nowNanos), shared))
                .or(() -> request(
                        Purpose.RECHECK,
                        known.dueForRecheck(need, nowNanos),
                        advice.callSize().max()));
    }

    /** Renews the tickets that let work items start; for a gang those of all its servers, so that they are valid at once. */
    private Optional<Request> renewal(
            TicketNeed need, List<TrackedServer> withRoom, int shared, TicketLifetime lifetime, long nowNanos) {
        boolean gang = need.spec().gang();
        List<BackendServer.Incarnation> chosen = new ArrayList<>();
        int places = 0;
        boolean anyExpired = false;
        for (TrackedServer server : withRoom) {
            boolean isExpired =
                    !known.expired(List.of(server), lifetime, nowNanos).isEmpty();
            boolean enough = places >= need.waitingCount() && (gang || chosen.size() >= shared);
            if (enough || !gang && chosen.size() >= AdviceCallSize.MAX_SERVERS) {
                break;
            }
            if (gang || isExpired) {
                chosen.add(server.incarnation());
                places += need.places(server);
                anyExpired |= isExpired;
            }
        }
        if (!anyExpired || gang && places < need.waitingCount()) {
            return Optional.empty();
        }
        return gang
                ? request(Purpose.START, known.oldestFirst(chosen), evenPart(chosen.size()))
                        .map(request -> new Request(request.purpose(), request.servers(), true))
                : request(Purpose.START, chosen, chosen.size());
    }

    /** Returns the size of the calls when servers are divided evenly among as few as possible. */
    private static int evenPart(int servers) {
        int calls = (servers + AdviceCallSize.MAX_SERVERS - 1) / AdviceCallSize.MAX_SERVERS;
        return (servers + calls - 1) / Math.max(1, calls);
    }

    /** Asks about further servers, those with room first. */
    private Optional<Request> exploration(TicketNeed need, KnownServers.Candidates candidates, int shared) {
        double stepShare = advice.allowedShare().ofStep(asked(), known.allowedCount());
        ToDoubleFunction<TrackedServer> score = server -> need.preference().applyAsDouble(server)
                * advice.allowedShare().ofServer(server.incarnation().serverId(), stepShare);
        boolean start = !candidates.unaskedWithRoom().isEmpty();
        List<TrackedServer> servers = new ArrayList<>(candidates.unaskedWithRoom());
        KnownServers.sort(servers, score);
        int needed = neededServers(need, servers, stepShare);
        List<TrackedServer> others = new ArrayList<>(candidates.unaskedWithoutRoom());
        KnownServers.sort(others, score);
        servers.addAll(others);
        int most = advice.callSize().max();
        return request(
                start ? Purpose.START : Purpose.EXPLORE,
                servers.stream().map(TrackedServer::incarnation).toList(),
                Math.max(Math.min(needed, most), shared));
    }

    /**
     * Returns how many servers to name so that the waiting work items probably get enough places, and that the chance of
     * a further call is no larger than the part of this call that is spent on its servers.
     */
    private int neededServers(TicketNeed need, List<TrackedServer> servers, double stepShare) {
        double expectedPlaces = 0;
        double noneAllowed = 1;
        int count = 0;
        for (TrackedServer server : servers) {
            boolean enough = expectedPlaces >= need.waitingCount()
                    && noneAllowed <= advice.callSize().serverShare(count);
            if (enough) {
                break;
            }
            double probability =
                    advice.allowedShare().ofServer(server.incarnation().serverId(), stepShare);
            expectedPlaces += probability * need.places(server);
            noneAllowed *= 1 - probability;
            count++;
        }
        return count;
    }

    private static Optional<Request> request(Purpose purpose, List<BackendServer.Incarnation> servers, int most) {
        return servers.isEmpty()
                ? Optional.empty()
                : Optional.of(new Request(purpose, servers.stream().limit(most).toList(), false));
    }
}

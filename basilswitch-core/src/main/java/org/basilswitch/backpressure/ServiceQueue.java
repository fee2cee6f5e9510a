package org.basilswitch.backpressure;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Predicate;

import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Divides an event loop between the connections of a server and all other work. Connections are served for a limited
 * time in a turn. Those beyond it wait for the next turn, before which the event loop does its other work; of them the
 * one that has taken the least time goes first (start-time fair queueing, with a head start of one turn for those that
 * were idle), so that a small request passes a crowd. Used on one event loop.
 *
 * @param <C> the server's connections
 */
public final class ServiceQueue<C> {
    /** Pause between two turns, in which the event loop looks at all other connections and timers. */
    private static final Duration TURN_PAUSE = Duration.ofMillis(1);

    private final long turnNanos;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Predicate<C> server;
    private final PriorityQueue<Member<C>> waiting =
            new PriorityQueue<>(Comparator.<Member<C>>comparingLong(member -> member.startNanos)
                    .thenComparingLong(member -> member.sequence));
    private long turnStartNanos;
    private long usedNanos;
    private long virtualNanos;
    private long latestEndNanos;
    private long sequence;
    private boolean turnScheduled;

    /** A connection that takes part. */
    public static final class Member<C> {
        private final C connection;
        private boolean waiting;
        /** Virtual time at which its next service starts: the service time that one of equal connections has had. */
        private long startNanos;
        /** Virtual time at which its last service ended. */
        private long endNanos;

        private long sequence;

        private Member(C connection) {
            this.connection = connection;
        }

        /** Returns whether the connection waits for a turn. */
        public boolean isWaiting() {
            return waiting;
        }
    }

    private ServiceQueue(Duration turn, Clock clock, Scheduler scheduler, Predicate<C> server) {
        this.turnNanos = turn.toNanos();
        this.clock = clock;
        this.scheduler = scheduler;
        this.server = server;
        this.turnStartNanos = clock.monotonicNanos();
    }

    /**
     * Creates a queue without connections.
     *
     * @param turn time for which connections are served before other work has its turn
     * @param server serves a small part of what a connection has sent, and returns whether more is left
     */
    public static <C> ServiceQueue<C> create(Duration turn, Clock clock, Scheduler scheduler, Predicate<C> server) {
        return new ServiceQueue<>(turn, clock, scheduler, server);
    }

    /** Adds a connection. */
    public Member<C> join(C connection) {
        Member<C> member = new Member<>(connection);
        member.endNanos = virtualNanos - turnNanos;
        return member;
    }

    /** Removes a connection. */
    public void leave(Member<C> member) {
        if (member.waiting) {
            member.waiting = false;
            waiting.remove(member);
        }
    }

    /**
     * Offers a connection that has something to be served. It is served at once, unless others wait or the time of the
     * turn is used up; the rest follows in later turns. Has no effect when the connection waits already.
     */
    public void offer(Member<C> member) {
        if (member.waiting) {
            return;
        }
        long nowNanos = clock.monotonicNanos();
        if (waiting.isEmpty() && nowNanos - turnStartNanos >= 2 * Math.max(turnNanos, usedNanos)) {
            turnStartNanos = nowNanos;
            usedNanos = 0;
            // Nothing counts against a connection from before a time in which none waited.
            virtualNanos = Math.max(virtualNanos, latestEndNanos + turnNanos);
        }
        if (!waiting.isEmpty() || usedNanos >= turnNanos) {
            await(member);
        } else {
            member.startNanos = startNanos(member);
            serve(member, nowNanos);
        }
    }

    private long startNanos(Member<C> member) {
        return Math.max(member.endNanos, virtualNanos - turnNanos);
    }

    private void await(Member<C> member) {
        member.startNanos = startNanos(member);
        member.waiting = true;
        member.sequence = sequence++;
        waiting.add(member);
        scheduleTurn();
    }

    private void serve(Member<C> member, long nowNanos) {
        virtualNanos = Math.max(virtualNanos, member.startNanos);
        boolean more = server.test(member.connection);
        long costNanos = clock.monotonicNanos() - nowNanos;
        member.endNanos = member.startNanos + costNanos;
        latestEndNanos = Math.max(latestEndNanos, member.endNanos);
        usedNanos += costNanos;
        if (more && !member.waiting) {
            await(member);
        }
    }

    private void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            scheduler.schedule(TURN_PAUSE, this::runTurn);
        }
    }

    private void runTurn() {
        turnScheduled = false;
        turnStartNanos = clock.monotonicNanos();
        usedNanos = 0;
        while (!waiting.isEmpty() && usedNanos < turnNanos) {
            Member<C> next = waiting.poll();
            next.waiting = false;
            serve(next, clock.monotonicNanos());
        }
        if (!waiting.isEmpty()) {
            scheduleTurn();
        }
    }
}

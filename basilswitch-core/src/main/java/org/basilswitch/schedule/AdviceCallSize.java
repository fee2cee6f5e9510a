package org.basilswitch.schedule;

import java.time.Duration;

import org.basilswitch.job.AdviceTimes;

/**
 * Number of servers to name in a call of the advice service, which takes a time for any call and a time for each server:
 * so many that the call takes half of the time for which its tickets can be used, or that the time for any call is no
 * more than half of it.
 */
final class AdviceCallSize {
    /** Maximum number of servers that the service takes in one call. */
    static final int MAX_SERVERS = 100;
    /** Number of servers in the first call for a step at most, so that it starts soon. */
    private static final int FIRST_CALL_SERVERS = 30;
    /** Time within which each of the waiting steps is to have its turn. */
    private static final Duration ROUND = Duration.ofMillis(1500);
    /** Shortest time limit of a call; covers services that are slower than stated, and pauses of processes. */
    private static final Duration MIN_TIME_LIMIT = Duration.ofMillis(3000);
    /** Time limit of a call as a multiple of its expected duration. */
    private static final int TIME_LIMIT_FACTOR = 3;

    private static final Duration MAX_TIME_LIMIT = Duration.ofMinutes(5);
    /** Number of times that a time limit is doubled at most. */
    private static final int MAX_DOUBLINGS = 2;
    /** Number of times that the number of servers is halved at most. */
    private static final int MAX_HALVINGS = 7;

    /** Time from an answer to the next call, for a placement round and the network. */
    private static final int BETWEEN_CALLS_MS = 15;

    /** Bounds that keep the estimates above zero. */
    private static final double MIN_SLOWNESS = 0.1;

    private static final double MIN_PER_SERVER_MS = 0.1;

    /** Part of the validity that a call may take where the validity begins with the call. */
    private static final double MAX_SHARE_OF_VALIDITY = 0.9;

    private final AdviceTimes stated;
    private final TicketLifetime lifetime;
    private Duration validity;
    /** Duration of the last answered call as a multiple of its duration by the stated times. */
    private double slowness = 1;

    private int unanswered;

    private AdviceCallSize(AdviceTimes stated, TicketLifetime lifetime) {
        this.stated = stated;
        this.lifetime = lifetime;
        this.validity = Duration.ofMillis(stated.validityMs());
    }

    static AdviceCallSize of(AdviceTimes stated, TicketLifetime lifetime) {
        return new AdviceCallSize(stated, lifetime);
    }

    /** Returns the largest number of servers to name. */
    int max() {
        double limitMs = TicketLifetime.usableTime(validity).toMillis() / 2.0;
        double fitting = validity.isZero()
                ? FIRST_CALL_SERVERS
                : Math.max((limitMs - decideMs()) / perServerMs(), decideMs() / perServerMs());
        double inTime = (MAX_SHARE_OF_VALIDITY * validity.toMillis() - decideMs()) / perServerMs();
        boolean limited = lifetime.beginsWithCall() && inTime >= 1;
        double most = Math.min(MAX_SERVERS, limited ? Math.min(fitting, inTime) : fitting);
        return atLeastOne(most / (1 << Math.min(unanswered, MAX_HALVINGS)));
    }

    /** Returns the largest number of servers to name while other steps wait; larger after answers in vain. */
    private int needed(int asked) {
        return Math.min(Math.max(FIRST_CALL_SERVERS, asked), max());
    }

    /**
     * Returns the number of servers to name for a step, so that other steps that wait have their turn soon.
     *
     * @param asked number of servers about which the service has answered for the step
     * @param exploringSteps number of steps with servers left to ask about
     */
    int shared(int asked, int exploringSteps) {
        if (exploringSteps <= 1) {
            return asked == 0 ? needed(0) : max();
        }
        double fitting = (ROUND.toMillis() / (double) exploringSteps - decideMs()) / perServerMs();
        return Math.min(needed(asked), atLeastOne(fitting));
    }

    /** Returns the part of the time from one call to the next that is spent on its servers, from 0 to 1. */
    double serverShare(int servers) {
        double serversMs = servers * perServerMs();
        return serversMs / (serversMs + decideMs() + BETWEEN_CALLS_MS);
    }

    /** Returns the time after which a call is overdue, so that other steps no longer wait for its answer. */
    Duration overdueTime(int servers) {
        long expectedMs = (long) (TIME_LIMIT_FACTOR * (decideMs() + servers * perServerMs()));
        return Duration.ofMillis(Math.min(Math.max(MIN_TIME_LIMIT.toMillis(), expectedMs), MAX_TIME_LIMIT.toMillis()));
    }

    /** Returns the time to wait for an answer; longer after calls without one, as the service may be slower than stated. */
    Duration timeLimit(int servers) {
        Duration limit = overdueTime(servers).multipliedBy(1L << Math.min(unanswered, MAX_DOUBLINGS));
        return limit.compareTo(MAX_TIME_LIMIT) > 0 ? MAX_TIME_LIMIT : limit;
    }

    /** Adapts to the duration of an answered call; an answer without a validity leaves the last one. */
    void onAnswer(int servers, Duration took, Duration grantedValidity) {
        double statedMs = stated.decideMs() + servers * Math.max(MIN_PER_SERVER_MS, stated.perServerMs());
        slowness = Math.max(MIN_SLOWNESS, took.toNanos() / 1e6 / statedMs);
        validity = grantedValidity.isZero() ? validity : grantedValidity;
        unanswered = Math.max(0, unanswered - 1);
    }

    /** Adapts to a call without an answer, which may have taken too long. */
    void onNoAnswer() {
        unanswered++;
    }

    /** Returns the validity of the tickets in the last answer. */
    Duration validity() {
        return validity;
    }

    private double decideMs() {
        return slowness * stated.decideMs();
    }

    private double perServerMs() {
        return slowness * Math.max(MIN_PER_SERVER_MS, stated.perServerMs());
    }

    private static int atLeastOne(double servers) {
        return (int) Math.max(1, servers);
    }
}

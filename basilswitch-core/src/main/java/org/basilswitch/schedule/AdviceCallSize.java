package org.basilswitch.schedule;

import java.time.Duration;

/**
 * Number of servers to name in a call of the advice service, which takes time for each of them: so many that the tickets
 * are still valid for half of their time when they arrive.
 */
final class AdviceCallSize {
    /** Maximum number of servers that the service takes in one call. */
    private static final int MAX_SERVERS = 100;
    /** Number of servers in the first call for a step, which is short so that the step starts soon. */
    private static final int FIRST_CALL_SERVERS = 30;
    /** Part of a ticket's validity that is reserved for storing the run's record and starting the run. */
    private static final Duration START_ALLOWANCE = Duration.ofMillis(600);

    private int maxServers = FIRST_CALL_SERVERS;

    /** Returns the number of servers to ask about for the first time. */
    int forExploration(boolean firstCall) {
        return firstCall ? Math.min(FIRST_CALL_SERVERS, maxServers) : maxServers;
    }

    /**
     * Returns the number of servers whose tickets may be renewed together. A gang needs all its tickets at once, so that
     * its call may use up most of their validity.
     */
    int forRenewal(boolean gang) {
        return gang ? Math.min(MAX_SERVERS, 2 * maxServers) : Math.min(FIRST_CALL_SERVERS, maxServers);
    }

    /** Returns the time from the beginning of a call for which its tickets are used. */
    static Duration usableTime(Duration validity) {
        Duration quarter = validity.dividedBy(4);
        return validity.minus(quarter.compareTo(START_ALLOWANCE) < 0 ? quarter : START_ALLOWANCE);
    }

    /**
     * Adapts to the duration of an answered call. A short call only shows that more servers are possible, as the time
     * that the service takes for any call weighs more on few servers.
     */
    void onAnswer(int servers, Duration took, Duration validity) {
        long limitNanos = usableTime(validity).toNanos() / 2;
        long fitting = limitNanos / Math.max(1, took.toNanos() / servers);
        long next = took.toNanos() > limitNanos ? Math.min(maxServers, fitting) : Math.max(maxServers, fitting);
        maxServers = (int) Math.max(1, Math.min(MAX_SERVERS, next));
    }

    /** Adapts to a call without an answer, which may have taken too long. */
    void onNoAnswer(int servers) {
        maxServers = Math.max(1, Math.min(maxServers, servers) / 2);
    }
}

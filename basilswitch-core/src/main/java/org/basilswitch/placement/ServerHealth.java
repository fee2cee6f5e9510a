package org.basilswitch.placement;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tracks the health of a backend server: healthy, ejected for a time, probed with single requests, or returning with a
 * growing ratio of its slots.
 */
final class ServerHealth {
    static final int FAILURES_TO_EJECT = 3;
    static final Duration SLOW_START = Duration.ofSeconds(5);
    static final Duration INITIAL_EJECTION = Duration.ofSeconds(1);
    static final Duration MAX_EJECTION = Duration.ofSeconds(30);

    private static final Duration RECENT_FAILURE_WINDOW = Duration.ofSeconds(1);
    private static final int PROBES_TO_RETURN = 2;
    private static final int MAX_DOUBLINGS = 5;

    private final UniformRandomProvider random;
    private State state = State.HEALTHY;
    private int consecutiveFailures;
    private int ejections;
    private int successfulProbes;
    private long lastFailureNanos;
    private long ejectedUntilNanos;
    private long slowStartNanos;

    ServerHealth(UniformRandomProvider random) {
        this.random = random;
    }

    /** Begins the slow start of a server that has joined a pool in use or returns after an ejection. */
    void beginSlowStart(long nowNanos) {
        state = State.RETURNING;
        slowStartNanos = nowNanos;
    }

    State state(long nowNanos) {
        if (state == State.EJECTED && nowNanos >= ejectedUntilNanos) {
            state = State.PROBING;
        }
        if (state == State.RETURNING && nowNanos - slowStartNanos >= SLOW_START.toNanos()) {
            state = State.HEALTHY;
        }
        return state;
    }

    /** Records a success; returns whether it was the last probe needed for the server to return. */
    boolean recordSuccess(long nowNanos) {
        consecutiveFailures = 0;
        if (state(nowNanos) != State.PROBING) {
            return false;
        }
        successfulProbes++;
        if (successfulProbes < PROBES_TO_RETURN) {
            return false;
        }
        beginSlowStart(nowNanos);
        return true;
    }

    /** Records a failure; returns whether the server should be ejected. */
    boolean recordFailure(long nowNanos) {
        consecutiveFailures++;
        lastFailureNanos = nowNanos;
        return state(nowNanos) == State.PROBING || consecutiveFailures >= FAILURES_TO_EJECT;
    }

    /** Ejects the server for a time that doubles with each consecutive ejection. */
    void eject(long nowNanos) {
        if (state == State.HEALTHY) {
            ejections = 0;
        }
        long base = INITIAL_EJECTION.toNanos() << Math.min(ejections, MAX_DOUBLINGS);
        long nanos = Math.min(MAX_EJECTION.toNanos(), (long) (base * (0.75 + random.nextDouble() / 2)));
        ejections++;
        state = State.EJECTED;
        successfulProbes = 0;
        consecutiveFailures = 0;
        ejectedUntilNanos = nowNanos + nanos;
    }

    /** Returns the ratio of the server's slots that may be used, from 0 to 1. */
    double usableSlotsRatio(long nowNanos) {
        return switch (state(nowNanos)) {
            case HEALTHY -> 1;
            case EJECTED, PROBING -> 0;
            case RETURNING -> (double) (nowNanos - slowStartNanos) / SLOW_START.toNanos();
        };
    }

    /**
     * Returns the number of failures since the last success; zero when the last failure is older than {@link
     * #RECENT_FAILURE_WINDOW}.
     */
    int recentFailures(long nowNanos) {
        return nowNanos - lastFailureNanos < RECENT_FAILURE_WINDOW.toNanos() ? consecutiveFailures : 0;
    }

    /** States of a server. */
    enum State {
        HEALTHY,
        EJECTED,
        PROBING,
        RETURNING
    }
}

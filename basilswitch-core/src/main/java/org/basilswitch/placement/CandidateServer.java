package org.basilswitch.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;

/** One backend server as this entry host sees it: requests in flight, service times, backoff and health. */
final class CandidateServer {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(5);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
    private static final double MAX_BACKOFF_SERVICE_TIMES = 0.25;
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    private final ServerHealth health;
    private final UniformRandomProvider random;
    private final Map<Object, Long> startedNanos = new LinkedHashMap<>();
    private Host host;
    private long lastAnswerNanos;
    private long endedUnansweredNanos;
    private long lastUnansweredNanos;
    private long backoffUntilNanos;
    private long backoffNanos;
    private double meanServiceNanos;
    private int busyLimit = Integer.MAX_VALUE;

    CandidateServer(Host host, UniformRandomProvider random) {
        this.host = host;
        this.random = random;
        this.health = new ServerHealth(random);
    }

    Host host() {
        return host;
    }

    void setHost(Host next) {
        host = next;
    }

    ServerHealth health() {
        return health;
    }

    int inFlight() {
        return startedNanos.size();
    }

    void recordStart(Object token, long nowNanos) {
        startedNanos.put(token, nowNanos);
    }

    /** Removes an attempt and returns its start time; empty when it was not in flight here. */
    java.util.OptionalLong removeInFlight(Object token) {
        Long started = startedNanos.remove(token);
        return started == null ? java.util.OptionalLong.empty() : java.util.OptionalLong.of(started);
    }

    void recordAnswer(long nowNanos, long serviceNanos) {
        lastAnswerNanos = nowNanos;
        endedUnansweredNanos = 0;
        busyLimit = Math.min(host.slots(), busyLimit) + 1;
        backoffNanos = 0;
        meanServiceNanos = meanServiceNanos == 0
                ? serviceNanos
                : meanServiceNanos + SERVICE_TIME_SMOOTHING * (serviceNanos - meanServiceNanos);
    }

    /** Records the end of an attempt during which the server gave no answer. */
    void recordUnanswered(long nowNanos, long startedAtNanos) {
        endedUnansweredNanos += nowNanos - Math.max(startedAtNanos, lastAnswerNanos);
        lastUnansweredNanos = nowNanos - startedAtNanos;
    }

    /** Clears the unanswered time of ended attempts, before the server is probed. */
    void resetUnanswered() {
        endedUnansweredNanos = 0;
        lastUnansweredNanos = 0;
    }

    /** Starts a backoff from a busy server for a random time that doubles with each consecutive busy refusal. */
    void recordBusy(long nowNanos, double poolMeanNanos) {
        long next = backoffNanos == 0 ? INITIAL_BACKOFF.toNanos() : backoffNanos * 2;
        long limit = poolMeanNanos == 0 ? MAX_BACKOFF.toNanos() : (long) (poolMeanNanos * MAX_BACKOFF_SERVICE_TIMES);
        backoffNanos = Math.clamp(
                next, INITIAL_BACKOFF.toNanos(), Math.clamp(limit, INITIAL_BACKOFF.toNanos(), MAX_BACKOFF.toNanos()));
        busyLimit = inFlight() + 1;
        backoffUntilNanos = nowNanos + (long) (backoffNanos * (0.5 + random.nextDouble()));
    }

    boolean isBackingOff(long nowNanos) {
        return nowNanos < backoffUntilNanos;
    }

    /** Returns the monotonic time in nanoseconds at which the backoff ends. */
    long backoffUntilNanos() {
        return backoffUntilNanos;
    }

    /**
     * Returns the time since the server's last answer, summed over the requests that were waiting for one.
     *
     * <p>With exponential service times of a known mean, a healthy server gives no answer during {@code n} means of
     * this time with probability {@code exp(-n)}, however many requests share it.
     */
    long unansweredNanos(long nowNanos) {
        long unanswered = endedUnansweredNanos;
        for (long started : startedNanos.values()) {
            unanswered += nowNanos - Math.max(started, lastAnswerNanos);
        }
        return unanswered;
    }

    /** Returns the age of the oldest request in flight, or zero when there is none. */
    long oldestInFlightNanos(long nowNanos) {
        return startedNanos.isEmpty()
                ? 0
                : nowNanos - startedNanos.values().iterator().next();
    }

    /**
     * Returns whether this host may send one more request, given the server's slots, connections, backoff and health.
     */
    boolean hasFreeSlot(long nowNanos) {
        if (isBackingOff(nowNanos)) {
            return false;
        }
        if (health.state(nowNanos) == ServerHealth.State.PROBING) {
            return startedNanos.isEmpty();
        }
        int cap = Math.min(busyLimit, Math.min(host.slots(), host.connections()));
        double usableRatio = health.usableSlotsRatio(nowNanos);
        return usableRatio > 0 && inFlight() < Math.max(1, Math.ceil(cap * usableRatio));
    }

    /**
     * Returns the load relative to size and speed. Recent failures count as load, since a server that fails quickly
     * looks idle.
     */
    double load(double poolMeanNanos, long nowNanos) {
        double speed = meanServiceNanos == 0 || poolMeanNanos == 0 ? 1 : poolMeanNanos / meanServiceNanos;
        double size = host.slots() * Math.clamp(speed, 0.25, 4);
        return (inFlight() + 1 + health.recentFailures(nowNanos) * host.slots()) / size;
    }
}

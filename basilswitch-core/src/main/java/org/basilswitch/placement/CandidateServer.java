package org.basilswitch.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;

/** What this entry host knows of one backend server. */
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

    /** Forgets an attempt; returns its start, or empty when it was not in flight here. */
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

    /** Notes that an attempt ended without any sign of the server. */
    void recordUnanswered(long nowNanos, long startedAtNanos) {
        endedUnansweredNanos += nowNanos - Math.max(startedAtNanos, lastAnswerNanos);
        lastUnansweredNanos = nowNanos - startedAtNanos;
    }

    /** Forgets past silence, before the server is probed. */
    void resetUnanswered() {
        endedUnansweredNanos = 0;
        lastUnansweredNanos = 0;
    }

    /** Holds a busy server off for a random time that doubles with each busy refusal in a row. */
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

    /** Time at which the server may be tried again, in monotonic nanoseconds. */
    long backoffUntilNanos() {
        return backoffUntilNanos;
    }

    /**
     * Time that the requests in flight have spent together without any answer from the server.
     *
     * <p>With exponential service times of a known mean, a sound server stays silent for {@code n} means of such time
     * with probability {@code exp(-n)}, however many requests share it.
     */
    long unansweredNanos(long nowNanos) {
        long unanswered = endedUnansweredNanos;
        for (long started : startedNanos.values()) {
            unanswered += nowNanos - Math.max(started, lastAnswerNanos);
        }
        return unanswered;
    }

    /** Age of the oldest request in flight, or of the last that ended without an answer. */
    long oldestInFlightNanos(long nowNanos) {
        return startedNanos.isEmpty()
                ? 0
                : nowNanos - startedNanos.values().iterator().next();
    }

    /** Whether this host may send one more request, by the server's slots, connections and health. */
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

    /** Load relative to size; recent failures count as load, since a server that fails quickly looks idle. */
    double load(double poolMeanNanos, long nowNanos) {
        double speed = meanServiceNanos == 0 || poolMeanNanos == 0 ? 1 : poolMeanNanos / meanServiceNanos;
        double size = host.slots() * Math.clamp(speed, 0.25, 4);
        return (inFlight() + 1 + health.recentFailures(nowNanos) * host.slots()) / size;
    }
}

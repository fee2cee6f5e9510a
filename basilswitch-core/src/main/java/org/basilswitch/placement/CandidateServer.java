package org.basilswitch.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;

/** What this entry host knows of one backend server. */
final class CandidateServer {
    private static final Duration FIRST_HOLD_OFF = Duration.ofMillis(5);
    private static final Duration MAX_HOLD_OFF = Duration.ofSeconds(1);
    private static final double HOLD_OFF_SERVICE_PART = 0.25;
    private static final double SERVICE_WEIGHT = 0.1;

    private final ServerHealth health;
    private final UniformRandomProvider random;
    private final Map<Object, Long> startedNanos = new LinkedHashMap<>();
    private Host host;
    private long lastAnswerNanos;
    private long silentEndedNanos;
    private long lastUnansweredNanos;
    private long heldOffUntilNanos;
    private long holdOffNanos;
    private double meanServiceNanos;
    private int busyCap = Integer.MAX_VALUE;

    CandidateServer(Host host, UniformRandomProvider random) {
        this.host = host;
        this.random = random;
        this.health = new ServerHealth(random);
    }

    Host host() {
        return host;
    }

    void host(Host next) {
        host = next;
    }

    ServerHealth health() {
        return health;
    }

    int inFlight() {
        return startedNanos.size();
    }

    void started(Object token, long nowNanos) {
        startedNanos.put(token, nowNanos);
    }

    /** Forgets an attempt; returns its start, or empty when it was not in flight here. */
    java.util.OptionalLong ended(Object token) {
        Long started = startedNanos.remove(token);
        return started == null ? java.util.OptionalLong.empty() : java.util.OptionalLong.of(started);
    }

    void answered(long nowNanos, long serviceNanos) {
        lastAnswerNanos = nowNanos;
        silentEndedNanos = 0;
        busyCap = Math.min(host.slots(), busyCap) + 1;
        holdOffNanos = 0;
        meanServiceNanos = meanServiceNanos == 0
                ? serviceNanos
                : meanServiceNanos + SERVICE_WEIGHT * (serviceNanos - meanServiceNanos);
    }

    /** Notes that an attempt ended without any sign of the server. */
    void unanswered(long nowNanos, long startedAtNanos) {
        silentEndedNanos += nowNanos - Math.max(startedAtNanos, lastAnswerNanos);
        lastUnansweredNanos = nowNanos - startedAtNanos;
    }

    /** Forgets past silence, before the server is probed. */
    void forgetSilence() {
        silentEndedNanos = 0;
        lastUnansweredNanos = 0;
    }

    /** Holds a busy server off for a random time that doubles with each busy refusal in a row. */
    void busy(long nowNanos, double poolMeanNanos) {
        long next = holdOffNanos == 0 ? FIRST_HOLD_OFF.toNanos() : holdOffNanos * 2;
        long limit = poolMeanNanos == 0 ? MAX_HOLD_OFF.toNanos() : (long) (poolMeanNanos * HOLD_OFF_SERVICE_PART);
        holdOffNanos = Math.clamp(
                next, FIRST_HOLD_OFF.toNanos(), Math.clamp(limit, FIRST_HOLD_OFF.toNanos(), MAX_HOLD_OFF.toNanos()));
        busyCap = inFlight() + 1;
        heldOffUntilNanos = nowNanos + (long) (holdOffNanos * (0.5 + random.nextDouble()));
    }

    boolean heldOff(long nowNanos) {
        return nowNanos < heldOffUntilNanos;
    }

    /** Time at which the server may be tried again, in monotonic nanoseconds. */
    long heldOffUntilNanos() {
        return heldOffUntilNanos;
    }

    /**
     * Time that the requests in flight have spent together without any answer from the server.
     *
     * <p>With exponential service times of a known mean, a sound server stays silent for {@code n} means of such time
     * with probability {@code exp(-n)}, however many requests share it.
     */
    long silentNanos(long nowNanos) {
        long silent = silentEndedNanos;
        for (long started : startedNanos.values()) {
            silent += nowNanos - Math.max(started, lastAnswerNanos);
        }
        return silent;
    }

    /** Age of the oldest request in flight, or of the last that ended without an answer. */
    long oldestNanos(long nowNanos) {
        return startedNanos.isEmpty()
                ? 0
                : nowNanos - startedNanos.values().iterator().next();
    }

    /** Whether this host may send one more request, by the server's slots, connections and health. */
    boolean free(long nowNanos) {
        if (heldOff(nowNanos)) {
            return false;
        }
        if (health.state(nowNanos) == ServerHealth.State.PROBING) {
            return startedNanos.isEmpty();
        }
        int cap = Math.min(busyCap, Math.min(host.slots(), host.connections()));
        double part = health.slotsPart(nowNanos);
        return part > 0 && inFlight() < Math.max(1, Math.ceil(cap * part));
    }

    /** Load relative to size; recent failures count as load, since a server that fails quickly looks idle. */
    double load(double poolMeanNanos, long nowNanos) {
        double speed = meanServiceNanos == 0 || poolMeanNanos == 0 ? 1 : poolMeanNanos / meanServiceNanos;
        double size = host.slots() * Math.clamp(speed, 0.25, 4);
        return (inFlight() + 1 + health.recentFailures(nowNanos) * host.slots()) / size;
    }
}

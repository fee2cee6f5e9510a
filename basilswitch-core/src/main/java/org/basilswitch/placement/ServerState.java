package org.basilswitch.placement;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;

/** What this entry host knows of one backend server. */
final class ServerState {
    private static final Duration FIRST_HOLD_OFF = Duration.ofMillis(5);
    private static final Duration MAX_HOLD_OFF = Duration.ofSeconds(1);
    private static final double SERVICE_WEIGHT = 0.1;

    private final ServerHealth health;
    private final UniformRandomProvider random;
    private final Map<Object, Long> startedNanos = new LinkedHashMap<>();
    private Host host;
    private long lastAnswerNanos = Long.MIN_VALUE;
    private long heldOffUntilNanos;
    private long holdOffNanos;
    private double meanServiceNanos;

    ServerState(Host host, UniformRandomProvider random) {
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
        holdOffNanos = 0;
        meanServiceNanos = meanServiceNanos == 0
                ? serviceNanos
                : meanServiceNanos + SERVICE_WEIGHT * (serviceNanos - meanServiceNanos);
    }

    /** Holds a busy server off for a random time that doubles with each busy refusal in a row. */
    void busy(long nowNanos) {
        long next = holdOffNanos == 0 ? FIRST_HOLD_OFF.toNanos() : holdOffNanos * 2;
        holdOffNanos = Math.min(MAX_HOLD_OFF.toNanos(), next);
        heldOffUntilNanos = nowNanos + (long) (holdOffNanos * (0.5 + random.nextDouble()));
    }

    boolean heldOff(long nowNanos) {
        return nowNanos < heldOffUntilNanos;
    }

    /** Time at which the server may be tried again, in monotonic nanoseconds. */
    long heldOffUntilNanos() {
        return heldOffUntilNanos;
    }

    /** Whether the oldest request has been in flight for longer than a time without any answer since. */
    boolean silentFor(long nowNanos, long nanos) {
        if (startedNanos.isEmpty()) {
            return false;
        }
        long oldest = startedNanos.values().iterator().next();
        return nowNanos - oldest > nanos && lastAnswerNanos < oldest;
    }

    /** Whether this host may send one more request, by the server's slots, connections and health. */
    boolean free(long nowNanos) {
        if (heldOff(nowNanos)) {
            return false;
        }
        if (health.state(nowNanos) == ServerHealth.State.PROBING) {
            return startedNanos.isEmpty();
        }
        int cap = Math.min(host.slots(), host.connections());
        double part = health.slotsPart(nowNanos);
        return part > 0 && inFlight() < Math.max(1, Math.ceil(cap * part));
    }

    /** Load relative to size; recent failures count as load, since a server that fails quickly looks idle. */
    double load(double poolMeanNanos) {
        double speed = meanServiceNanos == 0 || poolMeanNanos == 0 ? 1 : poolMeanNanos / meanServiceNanos;
        double size = host.slots() * Math.clamp(speed, 0.25, 4);
        return (inFlight() + 1 + health.consecutiveFailures() * host.slots()) / size;
    }
}

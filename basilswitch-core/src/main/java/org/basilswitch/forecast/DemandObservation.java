package org.basilswitch.forecast;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells pools whose demand has been observed from those about which nothing is known yet, as after the start of the
 * system or a takeover. That no job has arrived so far does not mean that a pool needs no hosts.
 */
public final class DemandObservation {
    /** Longest time for which a pool without any arrival counts as not observed; a fleet without demand rests after it. */
    static final Duration MAX_WAIT_FOR_FIRST_ARRIVAL = Duration.ofSeconds(60);
    /**
     * Observation time from the first arrival on. A host is not sent away sooner than it could be fetched back, which
     * takes about as long.
     */
    static final Duration OBSERVATION_TIME = Duration.ofSeconds(4);

    private final Map<String, Long> firstSeenNanos = new HashMap<>();
    private final Map<String, Long> firstArrivalNanos = new HashMap<>();

    /** Records that a job for a pool has arrived. */
    public void onArrival(String pool, long nowNanos) {
        firstArrivalNanos.putIfAbsent(pool, nowNanos);
    }

    /**
     * Returns whether the demand of a pool has been observed for long enough to give hosts away by it. The wait for the
     * first arrival begins with the first call for a pool.
     */
    public boolean isObserved(String pool, long nowNanos) {
        long seenNanos = firstSeenNanos.computeIfAbsent(pool, name -> nowNanos);
        Long arrivalNanos = firstArrivalNanos.get(pool);
        return nowNanos - seenNanos >= MAX_WAIT_FOR_FIRST_ARRIVAL.toNanos()
                || arrivalNanos != null && nowNanos - arrivalNanos >= OBSERVATION_TIME.toNanos();
    }
}

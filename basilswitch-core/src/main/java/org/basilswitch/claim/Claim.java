package org.basilswitch.claim;

import java.time.Duration;

/**
 * A claim of an idempotency key, or with {@code released} the tombstone that withdraws it.
 *
 * <p>A claim is over when both clocks of the bucket's holder say so. The wall clocks of two hosts may differ, and a wall
 * clock may be stepped. The monotonic clock counts the whole claim time, from the claim or from the reading of its
 * record.
 *
 * @param id hash of the queue and the idempotency key
 * @param correlation random number that identifies the claim
 * @param expiresMs time at which the claim expires by the wall clock, in milliseconds since the epoch
 * @param claimTimeMs the claim time or more, in milliseconds; 0 if its record does not state it
 * @param heldUntilNanos time up to which this host keeps the claim by its monotonic clock; not stored
 * @param released whether this is the tombstone of the claim with the same correlation
 */
record Claim(ClaimId id, long correlation, long expiresMs, long claimTimeMs, long heldUntilNanos, boolean released) {
    /** Time for which a claim is kept after it expires by the wall clock. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMinutes(1);
    /**
     * Bound on the error of wall clocks. It lets claims end that are read from the store again and again, by a new
     * holder within each claim time.
     */
    private static final Duration MAX_WALL_CLOCK_ERROR = Duration.ofDays(1);

    /** Creates a claim that starts now. */
    static Claim starting(ClaimId id, long correlation, Duration claimTime, ClaimInstant now) {
        long claimTimeMs = claimTime.toMillis();
        return new Claim(
                id,
                correlation,
                now.wallMs() + claimTimeMs,
                claimTimeMs,
                now.monotonicNanos() + claimTime.toNanos(),
                false);
    }

    /** Creates a claim that is read from the store now; it is kept as if it had started now. */
    static Claim read(
            ClaimId id, long correlation, long expiresMs, boolean released, long claimTimeMs, ClaimInstant now) {
        boolean longOver = now.wallMs() > expiresMs + MAX_WALL_CLOCK_ERROR.toMillis();
        Duration remaining = longOver ? Duration.ZERO : Duration.ofMillis(claimTimeMs);
        return new Claim(id, correlation, expiresMs, claimTimeMs, now.monotonicNanos() + remaining.toNanos(), released);
    }

    /** Returns whether the id may be claimed again. */
    boolean isOver(ClaimInstant now) {
        return now.wallMs() > expiresMs + EXPIRY_MARGIN.toMillis() && now.monotonicNanos() - heldUntilNanos >= 0;
    }

    /** Returns this claim, kept at least as long as another one by the monotonic clock. */
    Claim keptAsLongAs(Claim other) {
        boolean isLonger = heldUntilNanos - other.heldUntilNanos >= 0;
        return isLonger ? this : new Claim(id, correlation, expiresMs, claimTimeMs, other.heldUntilNanos, released);
    }

    /** Returns the tombstone that withdraws this claim. */
    Claim toRelease() {
        return new Claim(id, correlation, expiresMs, claimTimeMs, heldUntilNanos, true);
    }
}

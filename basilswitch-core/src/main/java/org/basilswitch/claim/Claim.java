package org.basilswitch.claim;

/**
 * A claim of an idempotency key, or with {@code released} the tombstone that withdraws it.
 *
 * @param id hash of the queue and the idempotency key
 * @param correlation random number that identifies the claim
 * @param expiresMs time at which the claim expires, in milliseconds since the epoch
 * @param released whether this is the tombstone of the claim with the same correlation
 */
record Claim(ClaimId id, long correlation, long expiresMs, boolean released) {

    /** Returns the tombstone that withdraws this claim. */
    Claim toRelease() {
        return new Claim(id, correlation, expiresMs, true);
    }
}

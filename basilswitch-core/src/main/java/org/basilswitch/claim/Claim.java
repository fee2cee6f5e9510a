package org.basilswitch.claim;

/**
 * One claim, or with {@code released} the mark that withdraws it.
 *
 * @param id hash of the queue and the idempotency key
 * @param correlation random number that names the claim
 * @param expiresMs when the claim ends, in milliseconds since the epoch
 * @param released whether this withdraws the claim of the same correlation
 */
record Claim(ClaimId id, long correlation, long expiresMs, boolean released) {

    /** The mark that withdraws this claim. */
    Claim toRelease() {
        return new Claim(id, correlation, expiresMs, true);
    }
}

package org.basilswitch.claim;

import net.openhft.hashing.LongTupleHashFunction;

/**
 * The 128-bit XXH3 hash of a queue's name and an idempotency key.
 *
 * @param high upper half
 * @param low lower half
 */
record ClaimId(long high, long low) {
    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
    private static final char SEPARATOR = '\n';

    static ClaimId of(String queue, String idempotencyKey) {
        long[] hash = HASH.hashChars(queue + SEPARATOR + idempotencyKey);
        return new ClaimId(hash[1], hash[0]);
    }

    int bucket() {
        return (int) Long.remainderUnsigned(high, BucketAssignment.BUCKET_COUNT);
    }
}

package org.basilswitch.claim;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Claims that are committed together as one record of the store.
 *
 * @param key the record's key
 * @param claims claims and tombstones
 */
record ClaimGroup(String key, List<Claim> claims) {
    private static final byte VERSION = 1;
    private static final int CLAIM_BYTES = 33;
    /** Size of the longest claim time after the claims; earlier programs do not write it, and ignore it. */
    private static final int CLAIM_TIME_BYTES = Long.BYTES;

    /** Copies the list. */
    ClaimGroup {
        claims = List.copyOf(claims);
    }

    /** Decodes a record that is read now. */
    static ClaimGroup decode(String key, byte[] value, ClaimInstant now) {
        ByteBuffer buffer = ByteBuffer.wrap(value);
        buffer.get();
        boolean statesClaimTime = buffer.remaining() % CLAIM_BYTES == CLAIM_TIME_BYTES;
        long claimTimeMs = statesClaimTime ? buffer.getLong(buffer.limit() - CLAIM_TIME_BYTES) : 0;
        List<Claim> claims = new ArrayList<>();
        while (buffer.remaining() >= CLAIM_BYTES) {
            ClaimId id = new ClaimId(buffer.getLong(), buffer.getLong());
            claims.add(Claim.read(id, buffer.getLong(), buffer.getLong(), buffer.get() != 0, claimTimeMs, now));
        }
        return new ClaimGroup(key, claims);
    }

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(1 + claims.size() * CLAIM_BYTES + CLAIM_TIME_BYTES);
        buffer.put(VERSION);
        for (Claim claim : claims) {
            buffer.putLong(claim.id().high()).putLong(claim.id().low());
            buffer.putLong(claim.correlation()).putLong(claim.expiresMs());
            buffer.put((byte) (claim.released() ? 1 : 0));
        }
        buffer.putLong(claims.stream().mapToLong(Claim::claimTimeMs).max().orElse(0));
        return buffer.array();
    }

    /** Returns whether all claims are over. */
    boolean isOver(ClaimInstant now) {
        return claims.stream().allMatch(claim -> claim.isOver(now));
    }
}

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

    /** Copies the list. */
    ClaimGroup {
        claims = List.copyOf(claims);
    }

    static ClaimGroup decode(String key, byte[] value) {
        ByteBuffer buffer = ByteBuffer.wrap(value);
        buffer.get();
        List<Claim> claims = new ArrayList<>();
        while (buffer.remaining() >= CLAIM_BYTES) {
            ClaimId id = new ClaimId(buffer.getLong(), buffer.getLong());
            claims.add(new Claim(id, buffer.getLong(), buffer.getLong(), buffer.get() != 0));
        }
        return new ClaimGroup(key, claims);
    }

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(1 + claims.size() * CLAIM_BYTES);
        buffer.put(VERSION);
        for (Claim claim : claims) {
            buffer.putLong(claim.id().high()).putLong(claim.id().low());
            buffer.putLong(claim.correlation()).putLong(claim.expiresMs());
            buffer.put((byte) (claim.released() ? 1 : 0));
        }
        return buffer.array();
    }

    /** Returns when the last of the claims expires, in milliseconds since the epoch; 0 for an empty group. */
    long expiresMs() {
        return claims.stream().mapToLong(Claim::expiresMs).max().orElse(0);
    }
}

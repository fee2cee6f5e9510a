package org.basilswitch.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * An operator's request for a change.
 *
 * @param operationId idempotency key of the change; a repeated request with it returns the same result
 * @param operator operator who requests the change
 * @param change change to make
 * @param expectedRevision modification revision that the record must have; 0 when the record must not exist
 */
public record ChangeRequest(String operationId, Operator operator, Change change, long expectedRevision) {

    /** Returns a hash of the request, which reveals that an operation id is used for two different changes. */
    String fingerprint() {
        String text = operator.name() + "\n" + change + "\n" + expectedRevision;
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must provide SHA-256", e);
        }
    }
}

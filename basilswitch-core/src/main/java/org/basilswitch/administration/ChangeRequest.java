package org.basilswitch.administration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A change as an operator asked for it.
 *
 * @param operationId identifies the change; asking again with it returns the same result
 * @param operator who asks
 * @param change what to change
 * @param expectedRevision modification revision that the operator has seen; 0 when the record must not exist
 */
public record ChangeRequest(String operationId, Operator operator, Change change, long expectedRevision) {

    /** A hash that tells apart two different changes with one operation id. */
    String fingerprint() {
        String text = operator.name() + "\n" + change + "\n" + expectedRevision;
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

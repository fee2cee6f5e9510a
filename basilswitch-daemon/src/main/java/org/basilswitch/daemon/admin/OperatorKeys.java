package org.basilswitch.daemon.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.basilswitch.administration.Operator;
import org.basilswitch.daemon.settings.Settings;

/** Finds the operator of a bearer key; holds hashes only and compares all of them, each in constant time. */
final class OperatorKeys {
    private static final String SCHEME = "Bearer ";

    private final List<OperatorKey> entries;

    private OperatorKeys(List<OperatorKey> entries) {
        this.entries = entries;
    }

    private record OperatorKey(byte[] hash, Operator operator) {}

    static OperatorKeys of(List<Settings.OperatorSettings> operators) {
        return new OperatorKeys(operators.stream()
                .map(operator -> new OperatorKey(
                        HexFormat.of().parseHex(operator.sha256Hex()), new Operator(operator.name(), operator.role())))
                .toList());
    }

    /** Returns the operator of an {@code Authorization} header; empty if the key is missing or unknown. */
    Optional<Operator> find(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        byte[] hash = sha256(authorization.substring(SCHEME.length()).trim());
        Optional<Operator> found = Optional.empty();
        for (OperatorKey entry : entries) {
            if (MessageDigest.isEqual(entry.hash, hash)) {
                found = Optional.of(entry.operator);
            }
        }
        return found;
    }

    private static byte[] sha256(String secret) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

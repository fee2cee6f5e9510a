package org.basilswitch.admission;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.dispatch.Refusal;

/** Maps a request's key to its team. Secrets are compared only by their SHA-256 hash. */
public final class KeyAuthenticator {
    /** Team name of requests without a key on queues open to all. */
    public static final String OPEN_TEAM = "open";

    private KeyAuthenticator() {}

    /** Returns the SHA-256 hash of a key's secret in hexadecimal; empty when the caller sent none. */
    public static Optional<String> hash(Optional<String> secret) {
        return secret.map(KeyAuthenticator::sha256Hex);
    }

    /** Returns the team that may use the queue, or the reason to refuse the request. */
    public static Either<Refusal.Code, String> teamOf(
            SiteConfiguration configuration, Queue queue, Optional<String> keyHash) {
        if (keyHash.isEmpty()) {
            return queue.openToAll() ? Either.right(OPEN_TEAM) : Either.left(Refusal.Code.KEY_MISSING);
        }
        Optional<TeamKey> key = configuration.keyByHash(keyHash.get());
        if (key.isEmpty()) {
            return Either.left(Refusal.Code.KEY_UNKNOWN);
        }
        String team = key.get().team();
        return configuration.teams().containsKey(team)
                ? Either.right(team)
                : Either.left(Refusal.Code.TEAM_NOT_ALLOWED);
    }

    private static String sha256Hex(String secret) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, although the Java platform requires it", e);
        }
    }
}

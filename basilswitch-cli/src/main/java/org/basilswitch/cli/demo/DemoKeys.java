package org.basilswitch.cli.demo;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;

/** Keys for demos and trials; their secrets are derived from the teams' names and are not secret. */
public final class DemoKeys {

    private DemoKeys() {}

    /** Returns the secret of a team's key: the prefix and the team's name. */
    public static String secret(String prefix, Team team) {
        return prefix + team.name();
    }

    /** Returns the record of a team's key. */
    public static TeamKey record(String prefix, Team team) {
        return new TeamKey("trial-" + team.name(), team.name(), sha256Hex(secret(prefix, team)));
    }

    private static String sha256Hex(String secret) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}

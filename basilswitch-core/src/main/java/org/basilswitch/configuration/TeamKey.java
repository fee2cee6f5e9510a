package org.basilswitch.configuration;

/**
 * A key granted to a team; only its hash is kept.
 *
 * @param name identifier of the key, not secret
 * @param team the team that the key speaks for
 * @param sha256Hex SHA-256 of the key's secret, as 64 lower-case hexadecimal digits
 */
public record TeamKey(String name, String team, String sha256Hex) implements ConfigurationRecord {}

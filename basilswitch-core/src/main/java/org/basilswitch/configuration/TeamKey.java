package org.basilswitch.configuration;

/**
 * An API key granted to a team; only the hash of its secret is stored.
 *
 * @param name public identifier of the key
 * @param team name of the team that the key authenticates
 * @param sha256Hex SHA-256 of the key's secret, as 64 lower-case hexadecimal digits
 */
public record TeamKey(String name, String team, String sha256Hex) implements ConfigurationRecord {}

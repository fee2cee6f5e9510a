package org.basilswitch.configuration;

/**
 * A pool of hosts.
 *
 * @param name unique name
 * @param minAvailableHosts availability budget: minimum number of hosts that must stay active during maintenance
 * @param spare whether this is the site's spare pool, which lends hosts to the others
 */
public record Pool(String name, int minAvailableHosts, boolean spare) implements ConfigurationRecord {}

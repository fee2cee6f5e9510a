package org.basilswitch.configuration;

/**
 * A team with its share of the fleet and its limit.
 *
 * @param name unique name
 * @param shareWeight weight of the team in weighted max-min fair allocation under contention; at least 1
 * @param limitTasks maximum number of the team's requests that run at the same time across the fleet
 */
public record Team(String name, int shareWeight, int limitTasks) implements ConfigurationRecord {}

package org.basilswitch.configuration;

/**
 * A team and its parts of the fleet.
 *
 * @param name unique name
 * @param shareWeight weight in the weighted max-min division when all is full; at least 1
 * @param limitTasks most requests that the team may have running across the fleet
 */
public record Team(String name, int shareWeight, int limitTasks) implements ConfigurationRecord {}

package org.basilswitch.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Weighted max-min division of a capacity by progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2). */
public final class MaxMinFairness {

    private MaxMinFairness() {}

    /**
     * Divides a capacity.
     *
     * @param capacity units to divide
     * @param demands demands and weights by name
     * @return units by name, each at most the demand
     */
    public static Map<String, Double> allocate(double capacity, Map<String, WeightedDemand> demands) {
        Map<String, Double> shares = new HashMap<>();
        List<String> unsatisfied = new ArrayList<>(demands.keySet());
        double remaining = capacity;
        while (!unsatisfied.isEmpty()) {
            double weight = unsatisfied.stream()
                    .mapToDouble(name -> demands.get(name).weight)
                    .sum();
            double fairLevel = remaining / weight;
            List<String> satisfied = unsatisfied.stream()
                    .filter(name -> demands.get(name).demand <= fairLevel * demands.get(name).weight)
                    .toList();
            if (satisfied.isEmpty()) {
                unsatisfied.forEach(name -> shares.put(name, fairLevel * demands.get(name).weight));
                return shares;
            }
            for (String name : satisfied) {
                shares.put(name, demands.get(name).demand);
                remaining -= demands.get(name).demand;
            }
            unsatisfied.removeAll(satisfied);
        }
        return shares;
    }

    /**
     * A demand for part of the capacity.
     *
     * @param demand units requested
     * @param weight weight, above zero
     */
    public record WeightedDemand(double demand, double weight) {}
}

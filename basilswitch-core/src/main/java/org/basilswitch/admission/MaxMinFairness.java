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
     * @param claims demands and weights by name
     * @return units by name, at most the demand each
     */
    public static Map<String, Double> allocate(double capacity, Map<String, WeightedDemand> claims) {
        Map<String, Double> parts = new HashMap<>();
        List<String> open = new ArrayList<>(claims.keySet());
        double left = capacity;
        while (!open.isEmpty()) {
            double weight =
                    open.stream().mapToDouble(name -> claims.get(name).weight).sum();
            double level = left / weight;
            List<String> met = open.stream()
                    .filter(name -> claims.get(name).demand <= level * claims.get(name).weight)
                    .toList();
            if (met.isEmpty()) {
                open.forEach(name -> parts.put(name, level * claims.get(name).weight));
                return parts;
            }
            for (String name : met) {
                parts.put(name, claims.get(name).demand);
                left -= claims.get(name).demand;
            }
            open.removeAll(met);
        }
        return parts;
    }

    /**
     * One claim on the capacity.
     *
     * @param demand units asked for
     * @param weight weight, above zero
     */
    public record WeightedDemand(double demand, double weight) {}
}

package org.basilswitch.fleet;

import java.time.Duration;

/** How many hosts one pool needs for its demand, by a lending policy. */
final class HostRequirement {
    private final LendingPolicy policy;
    private final DemandEstimate estimate;
    private double demandSlots;

    HostRequirement(LendingPolicy policy) {
        this.policy = policy;
        Duration window = policy instanceof LendingPolicy.Smoothed smoothed ? smoothed.window() : Duration.ofSeconds(1);
        this.estimate = new DemandEstimate(window);
    }

    /** Takes the demand of the moment in. */
    void sample(int slots, long nowNanos) {
        double smoothed = estimate.add(slots, nowNanos);
        demandSlots = policy instanceof LendingPolicy.Smoothed ? smoothed : slots;
    }

    /** Hosts under which the pool borrows. */
    int borrowBelow(int slotsPerHost, int minAvailableHosts) {
        return switch (policy) {
            case LendingPolicy.Fixed fixed -> minAvailableHosts;
            case LendingPolicy.Threshold threshold ->
                hosts(slotsPerHost * threshold.highUtilisation(), minAvailableHosts);
            case LendingPolicy.Smoothed smoothed ->
                hosts(slotsPerHost * smoothed.targetUtilisation(), minAvailableHosts);
        };
    }

    /** Hosts from which on the pool gives one back. */
    int giveBackFrom(int slotsPerHost, int minAvailableHosts) {
        return switch (policy) {
            case LendingPolicy.Fixed fixed -> Integer.MAX_VALUE;
            case LendingPolicy.Threshold threshold ->
                1 + hosts(slotsPerHost * threshold.lowUtilisation(), minAvailableHosts);
            case LendingPolicy.Smoothed smoothed ->
                smoothed.giveBackSurplusHosts() + hosts(slotsPerHost * smoothed.targetUtilisation(), minAvailableHosts);
        };
    }

    private int hosts(double usableSlotsPerHost, int minAvailableHosts) {
        return Math.max(minAvailableHosts, (int) Math.ceil(demandSlots / usableSlotsPerHost));
    }

    /** Least time between two moves of the pool. */
    Duration hold() {
        return policy instanceof LendingPolicy.Smoothed smoothed ? smoothed.hold() : Duration.ZERO;
    }
}

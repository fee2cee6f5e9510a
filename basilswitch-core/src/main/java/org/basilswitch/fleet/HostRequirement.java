package org.basilswitch.fleet;

import java.time.Duration;

/** Computes the number of hosts that a pool needs for its demand under a lending policy. */
final class HostRequirement {
    private final LendingPolicy policy;
    private final DemandEstimate estimate;
    private double demandSlots;

    HostRequirement(LendingPolicy policy) {
        this.policy = policy;
        Duration window = policy instanceof LendingPolicy.Smoothed smoothed ? smoothed.window() : Duration.ofSeconds(1);
        this.estimate = new DemandEstimate(window);
    }

    /** Adds a sample of the current demand. */
    void sample(int slots, long nowNanos) {
        double smoothed = estimate.add(slots, nowNanos);
        demandSlots = policy instanceof LendingPolicy.Smoothed ? smoothed : slots;
    }

    /** Returns the number of hosts below which the pool borrows. */
    int borrowThresholdHosts(int slotsPerHost, int minAvailableHosts) {
        return switch (policy) {
            case LendingPolicy.Fixed fixed -> minAvailableHosts;
            case LendingPolicy.Threshold threshold ->
                hostsFor(slotsPerHost * threshold.highUtilisation(), minAvailableHosts);
            case LendingPolicy.Smoothed smoothed ->
                hostsFor(slotsPerHost * smoothed.targetUtilisation(), minAvailableHosts);
        };
    }

    /** Returns the number of active hosts from which the pool returns one. */
    int returnThresholdHosts(int slotsPerHost, int minAvailableHosts) {
        return switch (policy) {
            case LendingPolicy.Fixed fixed -> Integer.MAX_VALUE;
            case LendingPolicy.Threshold threshold ->
                1 + hostsFor(slotsPerHost * threshold.lowUtilisation(), minAvailableHosts);
            case LendingPolicy.Smoothed smoothed ->
                smoothed.returnSurplusHosts()
                        + hostsFor(slotsPerHost * smoothed.targetUtilisation(), minAvailableHosts);
        };
    }

    private int hostsFor(double usableSlotsPerHost, int minAvailableHosts) {
        return Math.max(minAvailableHosts, (int) Math.ceil(demandSlots / usableSlotsPerHost));
    }

    /** Returns the minimum time between two moves for the pool. */
    Duration minMoveInterval() {
        return policy instanceof LendingPolicy.Smoothed smoothed ? smoothed.minMoveInterval() : Duration.ZERO;
    }
}

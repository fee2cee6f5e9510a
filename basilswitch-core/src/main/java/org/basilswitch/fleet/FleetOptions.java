package org.basilswitch.fleet;

import java.time.Duration;

/**
 * Times and bounds of the fleet's controllers.
 *
 * @param tickInterval time between two looks at a pool
 * @param listInterval time between two reads of the live-host list
 * @param dutyLease lease of a controller's duty
 * @param rebootRetryInterval time between two reboot calls for a host that has not rebooted yet
 * @param returnTimeout longest time after which a rebooting host counts as faulty
 * @param faultyReturnRatio multiple of the observed reboot time after which a host counts as faulty
 * @param clockSkew largest difference of two hosts' wall clocks
 * @param missingListsThreshold consecutive live-host lists without a host after which it is probed as down
 * @param healthyProbes consecutive healthy probes after which a returning host becomes active
 * @param lending how the spare pool follows demand
 * @param waveHeadroomHosts hosts beyond its availability budget that a pool should have while a wave runs in it
 */
public record FleetOptions(
        Duration tickInterval,
        Duration listInterval,
        Duration leaderLease,
        Duration rebootRetryInterval,
        Duration returnTimeout,
        double faultyReturnRatio,
        Duration clockSkew,
        int missingListsThreshold,
        int healthyProbes,
        LendingPolicy lending,
        int waveHeadroomHosts) {

    /** The product's defaults. */
    public static FleetOptions defaults() {
        return new FleetOptions(
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofSeconds(6),
                Duration.ofSeconds(10),
                Duration.ofMinutes(10),
                2.0,
                Duration.ofMillis(500),
                3,
                2,
                LendingPolicy.defaultPolicy(),
                2);
    }

    /** The same options with another lending policy. */
    public FleetOptions withLending(LendingPolicy policy) {
        return new FleetOptions(
                tickInterval,
                listInterval,
                leaderLease,
                rebootRetryInterval,
                returnTimeout,
                faultyReturnRatio,
                clockSkew,
                missingListsThreshold,
                healthyProbes,
                policy,
                waveHeadroomHosts);
    }
}

package org.basilswitch.fleet;

import java.time.Duration;

/**
 * Times and limits of the fleet controllers.
 *
 * @param tickInterval interval between two evaluations of a pool
 * @param listInterval interval between two reads of the live-host list
 * @param leaderLease duration of a pool leader's lease
 * @param rebootRetryInterval interval between two reboot calls for a host that has not rebooted yet
 * @param returnTimeout upper limit of the time after which a rebooting host is marked faulty
 * @param faultyReturnRatio multiple of the observed reboot time after which a rebooting host is marked faulty
 * @param clockSkew usual difference between the wall clocks of two hosts; safety does not depend on it alone
 * @param maxReportAge bound on the age of a host's usage report when it is read
 * @param missingListsThreshold consecutive live-host lists without a host after which it is probed as down
 * @param healthyProbes consecutive healthy probes after which a returning host becomes active
 * @param lending policy for lending hosts of the spare pool
 * @param waveHeadroomHosts hosts above its minimum of available hosts that a pool should have while a wave runs in it
 */
public record FleetOptions(
        Duration tickInterval,
        Duration listInterval,
        Duration leaderLease,
        Duration rebootRetryInterval,
        Duration returnTimeout,
        double faultyReturnRatio,
        Duration clockSkew,
        Duration maxReportAge,
        int missingListsThreshold,
        int healthyProbes,
        LendingPolicy lending,
        int waveHeadroomHosts) {

    /** Returns the default options. */
    public static FleetOptions defaults() {
        return new FleetOptions(
                Duration.ofMillis(250),
                Duration.ofSeconds(2),
                Duration.ofSeconds(6),
                Duration.ofSeconds(10),
                Duration.ofMinutes(10),
                2.0,
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                3,
                2,
                LendingPolicy.defaultPolicy(),
                2);
    }

    /** Returns a copy with another lending policy. */
    public FleetOptions withLending(LendingPolicy policy) {
        return new FleetOptions(
                tickInterval,
                listInterval,
                leaderLease,
                rebootRetryInterval,
                returnTimeout,
                faultyReturnRatio,
                clockSkew,
                maxReportAge,
                missingListsThreshold,
                healthyProbes,
                policy,
                waveHeadroomHosts);
    }
}

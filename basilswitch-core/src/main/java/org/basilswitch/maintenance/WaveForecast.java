package org.basilswitch.maintenance;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.fleet.PoolHostCounts;

/**
 * A wave's forecast: the lower bound of its duration, hosts times reboot time over budget in its slowest pool, and the
 * expected duration with draining and returning.
 *
 * @param pendingHosts hosts still to be maintained
 * @param lowerBound duration if hosts rebooted back to back
 * @param expected duration with draining and returning; empty time when a pool has no room at all
 * @param blockedPools pools whose availability budget leaves no room now
 */
public record WaveForecast(int pendingHosts, Duration lowerBound, Duration expected, Set<String> blockedPools) {

    /**
     * Forecasts a wave.
     *
     * @param configuration view of the configuration
     * @param wave the wave
     * @param rebootTime time from reboot to healthy
     * @param overheadTime draining before and probing after the reboot
     */
    public static WaveForecast of(
            SiteConfiguration configuration, MaintenanceWave wave, Duration rebootTime, Duration overheadTime) {
        Map<String, Integer> pendingByPool = new HashMap<>();
        Set<String> done = new HashSet<>(wave.done());
        for (String name : wave.hosts()) {
            Host host = configuration.hosts().get(name);
            if (host != null && !done.contains(name)) {
                pendingByPool.merge(host.pool(), 1, Integer::sum);
            }
        }
        Set<String> blocked = new HashSet<>();
        long slowestRounds = 0;
        int pending = 0;
        for (Map.Entry<String, Integer> entry : pendingByPool.entrySet()) {
            pending += entry.getValue();
            int headroom = budgetHeadroom(configuration, entry.getKey());
            if (headroom <= 0) {
                blocked.add(entry.getKey());
                continue;
            }
            slowestRounds = Math.max(slowestRounds, ceilDivide(entry.getValue(), headroom));
        }
        long rounds = Math.max(slowestRounds, ceilDivide(pending, Math.max(1, wave.maxConcurrentHosts())));
        return new WaveForecast(
                pending,
                rebootTime.multipliedBy(rounds),
                rebootTime.plus(overheadTime).multipliedBy(rounds),
                Set.copyOf(blocked));
    }

    private static int budgetHeadroom(SiteConfiguration configuration, String pool) {
        int minAvailableHosts = configuration.pools().containsKey(pool)
                ? configuration.pools().get(pool).minAvailableHosts()
                : 0;
        return PoolHostCounts.of(configuration, pool).active() - minAvailableHosts;
    }

    private static long ceilDivide(long dividend, long divisor) {
        return (dividend + divisor - 1) / divisor;
    }
}

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
 * A forecast of the remaining duration of a wave.
 *
 * <p>The lower bound is the number of pending hosts times the reboot time, divided by the availability headroom, in the
 * pool where this takes longest; the wave's limit of concurrent hosts may raise it. The expected duration adds the time
 * for draining and for the probes after the reboot.
 *
 * @param pendingHosts number of hosts that are not maintained yet
 * @param lowerBound remaining duration if the hosts reboot back to back
 * @param expected remaining duration with draining and probing; the availability headroom of blocked pools is ignored
 * @param blockedPools pools whose availability budget permits no drain at present
 */
public record WaveForecast(int pendingHosts, Duration lowerBound, Duration expected, Set<String> blockedPools) {

    /**
     * Computes the forecast of a wave.
     *
     * @param configuration view of the configuration
     * @param wave the wave
     * @param rebootTime time from the reboot of a host until it is healthy
     * @param overheadTime time for draining before the reboot and probing after it
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

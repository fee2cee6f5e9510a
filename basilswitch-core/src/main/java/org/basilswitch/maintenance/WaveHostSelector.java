package org.basilswitch.maintenance;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.fleet.PoolHostCounts;

/** Selects the hosts that a wave drains next, first in the racks and zones with the fewest unavailable hosts. */
public final class WaveHostSelector {
    private WaveHostSelector() {}

    /**
     * Returns the hosts of a pool that a wave may drain now, in order of preference.
     *
     * @param configuration view of the configuration
     * @param wave a running wave
     * @param pool the pool
     * @return hosts within the pool's availability budget and the wave's limit of concurrent hosts
     */
    public static List<Host> nextHosts(SiteConfiguration configuration, MaintenanceWave wave, String pool) {
        if (wave.phase() != MaintenanceWave.Phase.RUNNING) {
            return List.of();
        }
        PoolHostCounts counts = PoolHostCounts.of(configuration, pool);
        Set<String> pending = new HashSet<>(wave.hosts());
        wave.done().forEach(pending::remove);
        int headroom = Math.min(budgetHeadroom(configuration, pool, counts), waveHeadroom(configuration, wave));
        return configuration.hostsOf(pool).stream()
                .filter(host -> host.state() == HostState.ACTIVE && pending.contains(host.name()))
                .sorted(Comparator.comparingInt((Host host) -> counts.unavailableInRack(host.rack()))
                        .thenComparingInt(host -> counts.unavailableInZone(host.zone()))
                        .thenComparing(Host::name))
                .limit(Math.max(0, headroom))
                .toList();
    }

    private static int budgetHeadroom(SiteConfiguration configuration, String pool, PoolHostCounts counts) {
        int minAvailableHosts = configuration.pools().containsKey(pool)
                ? configuration.pools().get(pool).minAvailableHosts()
                : counts.total();
        return counts.active() - minAvailableHosts;
    }

    private static int waveHeadroom(SiteConfiguration configuration, MaintenanceWave wave) {
        long hostsInProgress = wave.hosts().stream()
                .map(configuration.hosts()::get)
                .filter(host -> host != null && inProgress(host.state()))
                .count();
        return (int) (wave.maxConcurrentHosts() - hostsInProgress);
    }

    private static boolean inProgress(HostState state) {
        return state == HostState.DRAINING || state == HostState.REBOOTING || state == HostState.RETURNING;
    }
}

package org.basilswitch.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.SiteConfiguration;

/** A pool's hosts counted by state, and those out of service counted by rack and availability zone. */
public final class PoolHostCounts {
    private final Map<HostState, Integer> byState = new EnumMap<>(HostState.class);
    private final Map<String, Integer> unavailableByRack = new HashMap<>();
    private final Map<String, Integer> unavailableByZone = new HashMap<>();
    private final int total;

    private PoolHostCounts(List<Host> hosts) {
        total = hosts.size();
        for (Host host : hosts) {
            byState.merge(host.state(), 1, Integer::sum);
            if (host.state() != HostState.ACTIVE) {
                unavailableByRack.merge(host.rack(), 1, Integer::sum);
                unavailableByZone.merge(host.zone(), 1, Integer::sum);
            }
        }
    }

    /** Counts a pool's hosts. */
    public static PoolHostCounts of(SiteConfiguration configuration, String pool) {
        return new PoolHostCounts(configuration.hostsOf(pool));
    }

    /** Number of hosts in a state. */
    public int inState(HostState state) {
        return byState.getOrDefault(state, 0);
    }

    /** Number of active hosts. */
    public int active() {
        return inState(HostState.ACTIVE);
    }

    /** Number of hosts in the pool. */
    public int total() {
        return total;
    }

    /** Number of a rack's hosts of this pool that are out of service. */
    public int unavailableInRack(String rack) {
        return unavailableByRack.getOrDefault(rack, 0);
    }

    /** Number of an availability zone's hosts of this pool that are out of service. */
    public int unavailableInZone(String zone) {
        return unavailableByZone.getOrDefault(zone, 0);
    }
}

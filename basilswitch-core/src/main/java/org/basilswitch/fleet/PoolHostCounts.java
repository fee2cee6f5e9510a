package org.basilswitch.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.SiteConfiguration;

/** The hosts of a pool counted by state, and its unavailable hosts counted by rack and availability zone. */
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

    /** Counts the hosts of a pool. */
    public static PoolHostCounts of(SiteConfiguration configuration, String pool) {
        return new PoolHostCounts(configuration.hostsOf(pool));
    }

    /** Returns the number of hosts in a state. */
    public int inState(HostState state) {
        return byState.getOrDefault(state, 0);
    }

    /** Returns the number of active hosts. */
    public int active() {
        return inState(HostState.ACTIVE);
    }

    /** Returns the number of hosts in the pool, in any state. */
    public int total() {
        return total;
    }

    /** Returns the number of the pool's hosts in a rack that are not active. */
    public int unavailableInRack(String rack) {
        return unavailableByRack.getOrDefault(rack, 0);
    }

    /** Returns the number of the pool's hosts in an availability zone that are not active. */
    public int unavailableInZone(String zone) {
        return unavailableByZone.getOrDefault(zone, 0);
    }
}

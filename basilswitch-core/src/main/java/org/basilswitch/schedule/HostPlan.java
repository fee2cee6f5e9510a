package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Plans which hosts move between pools: pools that lack hosts receive idle hosts of other pools or standby hosts, and
 * idle hosts that no pool needs go to standby.
 */
public final class HostPlan {

    /**
     * A pool and its need for hosts.
     *
     * @param name name
     * @param neededHosts number of hosts of the usual size that the pool needs soon
     * @param retainedHosts number of hosts that the pool keeps even if it does not need them now
     * @param observed whether the pool's demand has been observed; otherwise none of its hosts go to standby, and others
     *     borrow them last
     * @param hosts hosts that are in the pool or moving to it
     */
    public record PoolNeed(String name, int neededHosts, int retainedHosts, boolean observed, List<PoolHost> hosts) {
        /** Makes an immutable copy of the host list. */
        public PoolNeed {
            hosts = List.copyOf(hosts);
        }

        /** Creates the need of a pool whose demand has been observed. */
        public PoolNeed(String name, int neededHosts, int retainedHosts, List<PoolHost> hosts) {
            this(name, neededHosts, retainedHosts, true, hosts);
        }
    }

    /**
     * A host in a pool.
     *
     * @param name name
     * @param idle whether the host can be moved now without ending any work
     * @param canStandBy whether the host has been idle long enough to go to standby
     */
    public record PoolHost(String name, boolean idle, boolean canStandBy) {}

    /**
     * A move of a host.
     *
     * @param host name of the host
     * @param pool destination pool; empty for the standby pool
     */
    public record Move(String host, Optional<String> pool) {}

    private HostPlan() {}

    /**
     * Plans moves.
     *
     * @param pools pools in use, most urgent first
     * @param standbyHosts names of the hosts in standby that are available
     */
    public static List<Move> planMoves(List<PoolNeed> pools, List<String> standbyHosts) {
        List<Move> moves = new ArrayList<>();
        Set<String> used = new HashSet<>();
        Map<String, Integer> spare = new HashMap<>();
        for (PoolNeed pool : pools) {
            spare.put(pool.name(), pool.hosts().size() - Math.max(pool.neededHosts(), pool.retainedHosts()));
        }
        List<String> availableStandby = new ArrayList<>(standbyHosts);
        for (PoolNeed pool : pools) {
            int missing = pool.neededHosts() - pool.hosts().size();
            for (int i = 0; i < missing; i++) {
                Optional<String> host = takeIdleHost(pools, pool, true, spare, used);
                if (host.isEmpty()) {
                    host = availableStandby.isEmpty()
                            ? takeIdleHost(pools, pool, false, spare, used)
                            : Optional.of(availableStandby.remove(0));
                }
                if (host.isEmpty()) {
                    break;
                }
                used.add(host.get());
                moves.add(new Move(host.get(), Optional.of(pool.name())));
            }
        }
        for (PoolNeed pool : pools) {
            for (PoolHost host : pool.hosts()) {
                if (pool.observed() && spare.get(pool.name()) > 0 && host.canStandBy() && used.add(host.name())) {
                    spare.merge(pool.name(), -1, Integer::sum);
                    moves.add(new Move(host.name(), Optional.empty()));
                }
            }
        }
        return moves;
    }

    /** Returns an unused idle host of the pool with the most spare hosts among those observed or not, if any. */
    private static Optional<String> takeIdleHost(
            List<PoolNeed> pools, PoolNeed recipient, boolean observed, Map<String, Integer> spare, Set<String> used) {
        List<PoolNeed> donors = new ArrayList<>(pools);
        donors.removeIf(donor -> donor.observed() != observed);
        donors.sort(Comparator.comparingInt(pool -> -spare.get(pool.name())));
        for (PoolNeed donor : donors) {
            if (donor == recipient || spare.get(donor.name()) <= 0) {
                continue;
            }
            for (PoolHost host : donor.hosts()) {
                if (host.idle() && !used.contains(host.name())) {
                    spare.merge(donor.name(), -1, Integer::sum);
                    return Optional.of(host.name());
                }
            }
        }
        return Optional.empty();
    }
}

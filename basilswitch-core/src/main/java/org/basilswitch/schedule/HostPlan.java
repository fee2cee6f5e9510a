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
 * Divides hosts among pools: gives pools that need hosts those that others do not need, and lets the rest be switched
 * off.
 */
public final class HostPlan {

    /**
     * A pool.
     *
     * @param name name
     * @param needed hosts that it needs soon, of the usual size
     * @param keep hosts that it keeps even when it does not need them now
     * @param hosts hosts that it has or is getting
     */
    public record PoolNeed(String name, int neededHosts, int retainedHosts, List<PoolHost> hosts) {
        /** Copies the list. */
        public PoolNeed {
            hosts = List.copyOf(hosts);
        }
    }

    /**
     * A host in a pool.
     *
     * @param name name
     * @param idle whether it can be moved now without ending any work
     * @param restable whether it has been idle for long enough to be switched off
     */
    public record PoolHost(String name, boolean idle, boolean canStandBy) {}

    /**
     * A move.
     *
     * @param host host
     * @param pool pool that it moves to; empty to switch it off
     */
    public record Move(String host, Optional<String> pool) {}

    private HostPlan() {}

    /**
     * Plans moves.
     *
     * @param pools pools in use, the most urgent first
     * @param resting hosts that are switched off and can be had
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
                Optional<String> host = takeIdleHost(pools, pool, spare, used);
                if (host.isEmpty() && !availableStandby.isEmpty()) {
                    host = Optional.of(availableStandby.remove(0));
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
                if (spare.get(pool.name()) > 0 && host.canStandBy() && used.add(host.name())) {
                    spare.merge(pool.name(), -1, Integer::sum);
                    moves.add(new Move(host.name(), Optional.empty()));
                }
            }
        }
        return moves;
    }

    /** An idle host of the pool with most to spare. */
    private static Optional<String> takeIdleHost(
            List<PoolNeed> pools, PoolNeed recipient, Map<String, Integer> spare, Set<String> used) {
        List<PoolNeed> donors = new ArrayList<>(pools);
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

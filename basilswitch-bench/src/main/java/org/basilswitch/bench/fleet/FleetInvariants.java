package org.basilswitch.bench.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.fleet.HostTransitions;
import org.basilswitch.store.PlatformStore;

/**
 * Checks the fleet's invariants at every change in the store: pools keep their minimum of available hosts, host state
 * transitions are allowed, and hosts change pools only while draining.
 */
public final class FleetInvariants implements PlatformStore.WatchListener {
    private final String prefix;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, Pool> pools = new HashMap<>();
    private int moves;
    private String violation = "";

    private FleetInvariants(String prefix) {
        this.prefix = prefix;
    }

    /**
     * Creates a listener that checks the configuration records under a prefix; the watch has to start at the first
     * revision.
     */
    public static FleetInvariants create(String prefix) {
        return new FleetInvariants(prefix);
    }

    @Override
    public void onChanges(long revision, List<PlatformStore.Change> changes) {
        for (PlatformStore.Change change : changes) {
            Optional<ConfigurationRecord> record =
                    change.entry().flatMap(entry -> SiteConfiguration.decode(prefix, entry));
            record.ifPresent(found -> accept(revision, found));
        }
    }

    private void accept(long revision, ConfigurationRecord record) {
        switch (record) {
            case Pool pool -> pools.put(pool.name(), pool);
            case Host host -> acceptHost(revision, host);
            default -> {}
        }
    }

    private void acceptHost(long revision, Host next) {
        Host before = hosts.put(next.name(), next);
        if (before == null) {
            return;
        }
        boolean moved = !before.pool().equals(next.pool());
        moves += moved ? 1 : 0;
        if (moved && before.state() != HostState.DRAINING) {
            violation = "host " + next.name() + " moved while " + before.state() + " at revision " + revision;
        }
        if (!moved && before.state() != next.state() && !HostTransitions.isAllowed(before.state(), next.state())) {
            violation =
                    "host " + next.name() + " " + before.state() + " to " + next.state() + " at revision " + revision;
        }
        if (HostTransitions.isLimitedByBudget(before.state(), next.state())) {
            checkBudget(revision, next);
        }
    }

    private void checkBudget(long revision, Host drained) {
        long active = hosts.values().stream()
                .filter(host -> host.pool().equals(drained.pool()) && host.state() == HostState.ACTIVE)
                .count();
        int minHosts = pools.get(drained.pool()).minAvailableHosts();
        if (active < minHosts) {
            violation = "pool " + drained.pool() + " has " + active + " active hosts, minimum " + minHosts
                    + ", at revision " + revision;
        }
    }

    @Override
    public void onCompacted(long compactRevision) {
        violation = "the watch was compacted";
    }

    /** Returns the current records of all hosts. */
    public List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Returns the number of moves between pools so far. */
    public int moves() {
        return moves;
    }

    /** Returns the last violation, or empty when there was none. */
    public Optional<String> violation() {
        return violation.isEmpty() ? Optional.empty() : Optional.of(violation);
    }
}

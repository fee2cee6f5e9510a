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

/** Checks every change in the store: budgets hold, steps are allowed, and no host leaves the record of its pool. */
public final class FleetInvariants implements PlatformStore.WatchListener {
    private final String prefix;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, Pool> pools = new HashMap<>();
    private int moves;
    private String violation = "";

    private FleetInvariants(String prefix) {
        this.prefix = prefix;
    }

    /** Creates checks of the configuration records under a prefix, to be given to a watch from the first revision. */
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
            violation = "host " + next.name() + " moved while " + before.state() + " at " + revision;
        }
        if (!moved && before.state() != next.state() && !HostTransitions.allowed(before.state(), next.state())) {
            violation = "host " + next.name() + " " + before.state() + " to " + next.state() + " at " + revision;
        }
        if (HostTransitions.limitedByBudget(before.state(), next.state())) {
            checkBudget(revision, next);
        }
    }

    private void checkBudget(long revision, Host drained) {
        long active = hosts.values().stream()
                .filter(host -> host.pool().equals(drained.pool()) && host.state() == HostState.ACTIVE)
                .count();
        int least = pools.get(drained.pool()).minAvailableHosts();
        if (active < least) {
            violation = "pool " + drained.pool() + " has " + active + " active of " + least + " at " + revision;
        }
    }

    @Override
    public void onCompacted(long compactRevision) {
        violation = "unexpected compaction";
    }

    /** The hosts' records now. */
    public List<Host> hosts() {
        return List.copyOf(hosts.values());
    }

    /** Moves between pools so far. */
    public int moves() {
        return moves;
    }

    /** The last violation; empty when there was none. */
    public Optional<String> violation() {
        return violation.isEmpty() ? Optional.empty() : Optional.of(violation);
    }
}

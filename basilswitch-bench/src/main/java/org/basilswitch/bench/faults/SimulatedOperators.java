package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.basilswitch.admission.KeyAuthenticator;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;

/** Simulated operators: change limits, keys and host states in the store, and await that the changes are in force. */
final class SimulatedOperators {
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(20);

    private final FaultSite site;
    private final Map<String, Long> withdrawn = new HashMap<>();
    private final Map<String, Long> leaving = new HashMap<>();
    private final Map<String, Long> leavingSinceMs = new HashMap<>();
    private final Map<String, Integer> keyNumbers = new HashMap<>();
    private long nextHost;

    SimulatedOperators(FaultSite site) {
        this.site = site;
    }

    /** Returns the name of the key that a team's callers use at present. */
    String keyName(String team) {
        return team + "-key-" + keyNumbers.getOrDefault(team, 0);
    }

    /** Returns the revision at which a key was withdrawn, or 0 while it is valid. */
    long withdrawnRevision(String key) {
        return withdrawn.getOrDefault(key, 0L);
    }

    /**
     * Returns the virtual time at which a worker's leaving came into force, in milliseconds; a time in the far future
     * while it is not in force.
     */
    long leavingSinceMs(String worker) {
        return leavingSinceMs.getOrDefault(worker, Long.MAX_VALUE / 2);
    }

    /** Returns a team's limit in the store, in tasks. */
    int limit(String team) {
        return read("teams", team, Team.class).limitTasks();
    }

    void changeLimit(String team, int limit) {
        update("teams", team, Team.class, old -> new Team(team, old.shareWeight(), limit));
    }

    /** Grants a new key to a team and withdraws the old one after the overlap. */
    void replaceKey(String team, Duration overlap) {
        String old = keyName(team);
        keyNumbers.merge(team, 1, Integer::sum);
        TeamKey granted = key(team);
        put("keys", granted.name(), granted);
        site.time().schedule(overlap, () -> withdraw(old));
    }

    TeamKey key(String team) {
        String secret = keyName(team);
        return new TeamKey(
                secret, team, KeyAuthenticator.hash(Optional.of(secret)).orElseThrow());
    }

    private void withdraw(String key) {
        if (site.storeDown()) {
            site.time().schedule(Duration.ofSeconds(1), () -> withdraw(key));
            return;
        }
        String stored = site.keys().configuration("keys", key);
        CommitResult result =
                site.store().commit(Transaction.builder().delete(stored).build());
        withdrawn.put(key, ((CommitResult.Committed) result).revision());
        awaitInForce(((CommitResult.Committed) result).revision());
    }

    void setLeaving(String worker, boolean leaves) {
        if (leaves == leaving.containsKey(worker)) {
            return;
        }
        HostState state = leaves ? HostState.DRAINING : HostState.ACTIVE;
        long revision = update("hosts", worker, Host.class, old -> old.withState(state));
        if (leaves && revision > 0) {
            leaving.put(worker, revision);
        } else if (revision > 0) {
            leaving.remove(worker);
            leavingSinceMs.remove(worker);
        }
    }

    private <T extends ConfigurationRecord> T read(String kind, String name, Class<T> type) {
        PlatformStore.Entry entry =
                site.store().get(site.keys().configuration(kind, name)).orElseThrow();
        return RecordCodec.decode(entry.value(), type).orElseThrow();
    }

    private <T extends ConfigurationRecord> long update(
            String kind, String name, Class<T> type, UnaryOperator<T> change) {
        if (site.storeDown()) {
            return 0;
        }
        return put(kind, name, change.apply(read(kind, name, type)));
    }

    long put(String kind, String name, ConfigurationRecord record) {
        Transaction transaction = Transaction.builder()
                .put(site.keys().configuration(kind, name), RecordCodec.encode(record))
                .build();
        CommitResult.Committed committed = (CommitResult.Committed) site.store().commit(transaction);
        awaitInForce(committed.revision());
        return committed.revision();
    }

    /** Awaits at each entry host that a change is in force, as the administration interface does at one. */
    private void awaitInForce(long revision) {
        List<EntryProcess> live = site.processes();
        for (EntryProcess process : live) {
            process.time()
                    .deliver(() -> process.host()
                            .inForceMonitor()
                            .await(revision, IN_FORCE_TIMEOUT)
                            .thenAccept(result -> {
                                if (result.inForce()) {
                                    site.guarantees().recordInForce(revision);
                                    recordLeavingInForce(revision);
                                }
                            }));
        }
    }

    private void recordLeavingInForce(long revision) {
        leaving.forEach((worker, since) -> {
            if (since <= revision) {
                leavingSinceMs.putIfAbsent(worker, site.nowMs());
            }
        });
    }

    String nextMemberName() {
        return "entry-" + nextHost++;
    }
}

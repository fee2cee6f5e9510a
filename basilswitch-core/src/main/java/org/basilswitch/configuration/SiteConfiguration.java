package org.basilswitch.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.store.PlatformStore;

/**
 * An immutable view of all configuration records at one revision of the store.
 *
 * <p>A changed view shares unchanged records with its predecessor, so that the cost of a change is proportional to the
 * number of hosts in the affected pool and not to the size of the fleet.
 */
public final class SiteConfiguration {
    private static final SiteConfiguration EMPTY = new Builder(new SiteConfiguration()).build(0);

    private final long revision;
    private final RecordMap<Team> teams;
    private final RecordMap<TeamKey> keys;
    private final RecordMap<TeamKey> keysByHash;
    private final RecordMap<Queue> queues;
    private final RecordMap<Pool> pools;
    private final RecordMap<Host> hosts;
    private final RecordMap<List<Host>> hostsByPool;
    private final RecordMap<MaintenanceWave> waves;

    private SiteConfiguration() {
        revision = 0;
        teams = RecordMap.empty();
        keys = RecordMap.empty();
        keysByHash = RecordMap.empty();
        queues = RecordMap.empty();
        pools = RecordMap.empty();
        hosts = RecordMap.empty();
        hostsByPool = RecordMap.empty();
        waves = RecordMap.empty();
    }

    private SiteConfiguration(long revision, Builder builder) {
        this.revision = revision;
        teams = builder.teams;
        keys = builder.keys;
        keysByHash = builder.keysByHash;
        queues = builder.queues;
        pools = builder.pools;
        hosts = builder.hosts;
        hostsByPool = builder.hostsByPool;
        waves = builder.waves;
    }

    /** Returns the empty configuration, at revision 0. */
    public static SiteConfiguration empty() {
        return EMPTY;
    }

    /** Creates a view of a revision from records. */
    public static SiteConfiguration of(long revision, Iterable<? extends ConfigurationRecord> records) {
        Builder builder = EMPTY.toBuilder();
        records.forEach(builder::put);
        return builder.build(revision);
    }

    /** Returns a builder that starts from this view. */
    public Builder toBuilder() {
        return new Builder(this);
    }

    /** Decodes a record from a store entry; returns empty when its kind is unknown or its value is invalid. */
    public static Optional<ConfigurationRecord> decode(String prefix, PlatformStore.Entry entry) {
        String[] parts = entry.key().substring(prefix.length()).split("/", 2);
        return recordType(parts[0]).flatMap(type -> RecordCodec.decode(entry.value(), type));
    }

    /** Returns the record type of a kind; empty when the kind is unknown. */
    public static Optional<Class<? extends ConfigurationRecord>> recordType(String kind) {
        return Optional.ofNullable(
                switch (kind) {
                    case "teams" -> Team.class;
                    case "keys" -> TeamKey.class;
                    case "queues" -> Queue.class;
                    case "pools" -> Pool.class;
                    case "hosts" -> Host.class;
                    case "waves" -> MaintenanceWave.class;
                    default -> null;
                });
    }

    /** Returns the store revision up to which this view is complete. */
    public long revision() {
        return revision;
    }

    /** Returns the teams by name. */
    public Map<String, Team> teams() {
        return teams;
    }

    /** Returns the team keys by name. */
    public Map<String, TeamKey> keys() {
        return keys;
    }

    /** Finds a team key by the SHA-256 hash of its secret; empty when no key has this hash. */
    public Optional<TeamKey> keyByHash(String sha256Hex) {
        return Optional.ofNullable(keysByHash.get(sha256Hex));
    }

    /** Returns the queues by name. */
    public Map<String, Queue> queues() {
        return queues;
    }

    /** Returns the pools by name. */
    public Map<String, Pool> pools() {
        return pools;
    }

    /** Returns the hosts by name. */
    public Map<String, Host> hosts() {
        return hosts;
    }

    /** Returns the hosts of a pool, sorted by name; an empty list for an unknown pool. */
    public List<Host> hostsOf(String pool) {
        List<Host> found = hostsByPool.get(pool);
        return found == null ? List.of() : found;
    }

    /** Returns the maintenance waves by name. */
    public Map<String, MaintenanceWave> waves() {
        return waves;
    }

    /** Builds a changed view. */
    public static final class Builder {
        private RecordMap<Team> teams;
        private RecordMap<TeamKey> keys;
        private RecordMap<TeamKey> keysByHash;
        private RecordMap<Queue> queues;
        private RecordMap<Pool> pools;
        private RecordMap<Host> hosts;
        private RecordMap<List<Host>> hostsByPool;
        private RecordMap<MaintenanceWave> waves;
        private final Map<String, List<Host>> changedHostsByPool = new java.util.HashMap<>();

        private Builder(SiteConfiguration from) {
            teams = from.teams;
            keys = from.keys;
            keysByHash = from.keysByHash;
            queues = from.queues;
            pools = from.pools;
            hosts = from.hosts;
            hostsByPool = from.hostsByPool;
            waves = from.waves;
        }

        /** Adds or replaces a record. */
        public Builder put(ConfigurationRecord record) {
            remove(record.getClass(), record.name());
            switch (record) {
                case Team team -> teams = teams.with(team.name(), team);
                case TeamKey key -> putKey(key);
                case Queue queue -> queues = queues.with(queue.name(), queue);
                case Pool pool -> pools = pools.with(pool.name(), pool);
                case Host host -> putHost(host);
                case MaintenanceWave wave -> waves = waves.with(wave.name(), wave);
            }
            return this;
        }

        private void putKey(TeamKey key) {
            keys = keys.with(key.name(), key);
            keysByHash = keysByHash.with(key.sha256Hex(), key);
        }

        private void putHost(Host host) {
            hosts = hosts.with(host.name(), host);
            mutableHostsOf(host.pool()).add(host);
        }

        /** Removes a record by its kind (see {@link #recordType}) and name; has no effect when there is no such record. */
        public Builder remove(String kind, String name) {
            recordType(kind).ifPresent(type -> remove(type, name));
            return this;
        }

        private void remove(Class<? extends ConfigurationRecord> type, String name) {
            if (type == Team.class) {
                teams = teams.without(name);
            } else if (type == TeamKey.class) {
                removeKey(name);
            } else if (type == Queue.class) {
                queues = queues.without(name);
            } else if (type == Pool.class) {
                pools = pools.without(name);
            } else if (type == Host.class) {
                removeHost(name);
            } else {
                waves = waves.without(name);
            }
        }

        private void removeKey(String name) {
            TeamKey old = keys.get(name);
            if (old != null) {
                keys = keys.without(name);
                keysByHash = keysByHash.without(old.sha256Hex());
            }
        }

        private void removeHost(String name) {
            Host old = hosts.get(name);
            if (old != null) {
                hosts = hosts.without(name);
                mutableHostsOf(old.pool()).removeIf(host -> host.name().equals(name));
            }
        }

        private List<Host> mutableHostsOf(String pool) {
            return changedHostsByPool.computeIfAbsent(pool, name -> {
                List<Host> known = hostsByPool.get(name);
                return known == null ? new ArrayList<>() : new ArrayList<>(known);
            });
        }

        /** Builds the view at a revision. */
        public SiteConfiguration build(long revision) {
            changedHostsByPool.forEach((pool, list) -> {
                list.sort(Comparator.comparing(Host::name));
                hostsByPool = hostsByPool.with(pool, Collections.unmodifiableList(list));
            });
            changedHostsByPool.clear();
            return new SiteConfiguration(revision, this);
        }
    }
}

package org.basilswitch.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.store.PlatformStore;

/** An immutable view of all configuration records at one revision of the store. */
public final class SiteConfiguration {
    private final long revision;
    private final Map<String, Team> teams = new HashMap<>();
    private final Map<String, TeamKey> keys = new HashMap<>();
    private final Map<String, TeamKey> keysByHash = new HashMap<>();
    private final Map<String, Queue> queues = new HashMap<>();
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, List<Host>> hostsByPool = new HashMap<>();
    private final Map<String, MaintenanceWave> waves = new HashMap<>();

    private SiteConfiguration(long revision) {
        this.revision = revision;
    }

    /** The configuration of a store without records. */
    public static SiteConfiguration empty() {
        return new SiteConfiguration(0);
    }

    /** Builds a view from records. */
    public static SiteConfiguration of(long revision, Iterable<? extends ConfigurationRecord> records) {
        SiteConfiguration configuration = new SiteConfiguration(revision);
        for (ConfigurationRecord record : records) {
            configuration.add(record);
        }
        configuration.index();
        return configuration;
    }

    private void add(ConfigurationRecord record) {
        switch (record) {
            case Team team -> teams.put(team.name(), team);
            case TeamKey key -> keys.put(key.name(), key);
            case Queue queue -> queues.put(queue.name(), queue);
            case Pool pool -> pools.put(pool.name(), pool);
            case Host host -> hosts.put(host.name(), host);
            case MaintenanceWave wave -> waves.put(wave.name(), wave);
        }
    }

    private void index() {
        keys.values().forEach(key -> keysByHash.put(key.sha256Hex(), key));
        pools.keySet()
                .forEach(pool -> hostsByPool.put(
                        pool,
                        hosts.values().stream()
                                .filter(host -> host.pool().equals(pool))
                                .sorted(java.util.Comparator.comparing(Host::name))
                                .toList()));
    }

    /** Decodes one record of the configuration from its key and value; empty when it is not one. */
    public static Optional<ConfigurationRecord> decode(String prefix, PlatformStore.Entry entry) {
        String[] parts = entry.key().substring(prefix.length()).split("/", 2);
        return typeOf(parts[0]).flatMap(type -> RecordCodec.decode(entry.value(), type));
    }

    /** The record type of a kind; empty when the kind is unknown. */
    public static Optional<Class<? extends ConfigurationRecord>> typeOf(String kind) {
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

    /** Revision of the store that this view is complete up to. */
    public long revision() {
        return revision;
    }

    /** Teams by name. */
    public Map<String, Team> teams() {
        return java.util.Collections.unmodifiableMap(teams);
    }

    /** Keys by name. */
    public Map<String, TeamKey> keys() {
        return java.util.Collections.unmodifiableMap(keys);
    }

    /** Finds a granted key by the hash of its secret. */
    public Optional<TeamKey> keyByHash(String sha256Hex) {
        return Optional.ofNullable(keysByHash.get(sha256Hex));
    }

    /** Queues by name. */
    public Map<String, Queue> queues() {
        return java.util.Collections.unmodifiableMap(queues);
    }

    /** Pools by name. */
    public Map<String, Pool> pools() {
        return java.util.Collections.unmodifiableMap(pools);
    }

    /** Hosts by name. */
    public Map<String, Host> hosts() {
        return java.util.Collections.unmodifiableMap(hosts);
    }

    /** Hosts of a pool, in order of their names. */
    public List<Host> hostsOf(String pool) {
        return hostsByPool.getOrDefault(pool, List.of());
    }

    /** Waves by name. */
    public Map<String, MaintenanceWave> waves() {
        return java.util.Collections.unmodifiableMap(waves);
    }
}

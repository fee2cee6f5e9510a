package org.basilswitch.daemon.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import io.vertx.core.net.HostAndPort;
import org.basilswitch.administration.AdministrationLimits;
import org.basilswitch.administration.OperatorRole;
import org.basilswitch.configuration.ConfigurationRecord;

/**
 * Validated settings of a site.
 *
 * @param site name of the site
 * @param entryHosts the entry hosts, in the order of the file
 * @param tls certificates of the ports
 * @param store connection to the platform's store
 * @param membership times of the promises that entry hosts grant each other
 * @param limits limits and timeouts of a daemon
 * @param administration limits of the administration interface
 * @param operators operators with their key hashes and roles
 * @param liveHosts the platform's list of live hosts
 * @param topology zones and racks
 * @param records the site's initial records
 * @param fields every value by its path, for comparing settings
 */
public record Settings(
        String site,
        List<EntryHostSettings> entryHosts,
        TlsSettings tls,
        StoreSettings store,
        MembershipSettings membership,
        DaemonLimits limits,
        AdministrationSettings administration,
        List<OperatorSettings> operators,
        LiveHostsSettings liveHosts,
        Topology topology,
        List<ConfigurationRecord> records,
        Map<String, Object> fields) {

    /**
     * Reads and checks a base file and its overlays.
     *
     * @param base the base file
     * @param overlays overlays, each of which takes precedence over the files before it
     * @return the settings, or every problem found
     */
    public static Either<List<SettingsProblem>, Settings> load(Path base, List<Path> overlays) {
        List<SettingsProblem> problems = new ArrayList<>();
        List<SettingsSource> sources = new ArrayList<>();
        SettingsSource.read(base).peek(sources::add).peekLeft(problems::add);
        overlays.forEach(path -> SettingsSource.read(path).peek(sources::add).peekLeft(problems::add));
        return problems.isEmpty() ? parse(sources) : Either.left(List.copyOf(problems));
    }

    /** Parses, merges and checks the sources, the base first; returns the settings, or a non-empty list of problems. */
    public static Either<List<SettingsProblem>, Settings> parse(List<SettingsSource> sources) {
        List<SettingsProblem> problems = new ArrayList<>();
        List<SettingsNode.Section> sections = sources.stream()
                .map(source -> SettingsParser.parse(source, problems))
                .toList();
        if (problems.stream().anyMatch(SettingsProblem.Malformed.class::isInstance)) {
            return Either.left(List.copyOf(problems));
        }
        SettingsNode.Section merged =
                sections.stream().reduce(SettingsNode.Section::mergedWith).orElseThrow();
        SettingsValues values = FieldChecker.check(merged, problems);
        ConsistencyChecker.check(values, problems);
        return problems.isEmpty() ? Either.right(SettingsBinder.bind(values)) : Either.left(List.copyOf(problems));
    }

    /** Makes immutable copies of the lists and of the map. */
    public Settings {
        entryHosts = List.copyOf(entryHosts);
        operators = List.copyOf(operators);
        records = List.copyOf(records);
        fields = java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(fields));
    }

    /** Returns the entry host of this name; empty if there is none. */
    public Optional<EntryHostSettings> entryHost(String name) {
        return entryHosts.stream().filter(host -> host.name().equals(name)).findFirst();
    }

    /**
     * Settings of an entry host.
     *
     * @param name unique name
     * @param zone availability zone
     * @param callerAddress listen address for callers
     * @param administrationAddress listen address for operators
     * @param peerAddress listen address for other entry hosts
     */
    public record EntryHostSettings(
            String name,
            String zone,
            HostAndPort callerAddress,
            HostAndPort administrationAddress,
            HostAndPort peerAddress) {}

    /** Certificates of the three ports, each empty if the port has no TLS, and how often files are checked for changes. */
    public record TlsSettings(
            Optional<Certificate> caller,
            Optional<Certificate> administration,
            Optional<Certificate> peer,
            Duration reloadInterval) {}

    /** PEM files of a port; only the peer port has an authority file. */
    public record Certificate(Path certificatePath, Path keyPath, Optional<Path> authorityPath) {}

    /** Connection to the platform's store; only calls that are known to have had no effect are retried. */
    public record StoreSettings(
            List<HostAndPort> endpoints,
            Duration callTimeout,
            Duration connectTimeout,
            int retryLimitAttempts,
            Duration retryMinDelay,
            Duration retryMaxDelay) {}

    /** Times of the promises and heartbeats between entry hosts. */
    public record MembershipSettings(
            Duration promiseTime, Duration heartbeatInterval, double clockDriftRatio, Duration longestAutonomy) {}

    /** Size limits and timeouts of a daemon. */
    public record DaemonLimits(
            long bodyLimitBytes,
            int headerLimitBytes,
            int administrationBodyLimitBytes,
            long callerBufferBytes,
            int callerConnections,
            int callerConnectionsPerAddress,
            Duration callerIdleTimeout,
            Duration serverIdleTimeout,
            Duration shutdownGrace,
            Duration balancerWait) {}

    /** Limits of administration, and how long a response waits at most until its change is in force. */
    public record AdministrationSettings(AdministrationLimits limits, Duration inForceWait) {}

    /** An operator, identified by the hash of a key. */
    public record OperatorSettings(String name, String sha256Hex, OperatorRole role) {}

    /** The platform's list of live hosts; the address is empty if the site has none. */
    public record LiveHostsSettings(Optional<HostAndPort> address, Duration pollInterval) {}

    /** Regions by availability zone, and availability zones by rack. */
    public record Topology(Map<String, String> regionByZone, Map<String, String> zoneByRack) {

        /** Makes immutable copies of the maps. */
        public Topology {
            regionByZone = Map.copyOf(regionByZone);
            zoneByRack = Map.copyOf(zoneByRack);
        }
    }
}

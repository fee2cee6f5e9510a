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
 * Checked settings of a site.
 *
 * @param site name of the site
 * @param entryHosts the entry hosts, in the order of the file
 * @param tls certificates of the ports
 * @param store how to reach the platform's store
 * @param membership times of promises between entry hosts
 * @param limits bounds of a daemon
 * @param administration bounds of administration
 * @param operators operators
 * @param liveHosts the platform's list of live hosts
 * @param topology zones and racks
 * @param records the site's records before the first change
 * @param fields every value by its path, for comparisons
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
     * Reads and checks a base and its overlays.
     *
     * @param base the base file
     * @param overlays overlays, each over those before it
     * @return the settings, or every problem found
     */
    public static Either<List<SettingsProblem>, Settings> load(Path base, List<Path> overlays) {
        List<SettingsProblem> problems = new ArrayList<>();
        List<SettingsSource> sources = new ArrayList<>();
        SettingsSource.read(base).peek(sources::add).peekLeft(problems::add);
        overlays.forEach(path -> SettingsSource.read(path).peek(sources::add).peekLeft(problems::add));
        return problems.isEmpty() ? parse(sources) : Either.left(List.copyOf(problems));
    }

    /** Checks a base, the first source, and its overlays; the right side is complete, the left side never empty. */
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

    /** Copies the lists. */
    public Settings {
        entryHosts = List.copyOf(entryHosts);
        operators = List.copyOf(operators);
        records = List.copyOf(records);
        fields = java.util.Collections.unmodifiableMap(new java.util.TreeMap<>(fields));
    }

    /** Finds an entry host by its name. */
    public Optional<EntryHostSettings> entryHost(String name) {
        return entryHosts.stream().filter(host -> host.name().equals(name)).findFirst();
    }

    /**
     * One entry host.
     *
     * @param name unique name
     * @param zone availability zone
     * @param callerAddress where callers are accepted
     * @param administrationAddress where operators are accepted
     * @param peerAddress where other entry hosts are accepted
     */
    public record EntryHostSettings(
            String name,
            String zone,
            HostAndPort callerAddress,
            HostAndPort administrationAddress,
            HostAndPort peerAddress) {}

    /** Certificates of the three ports, each absent when the port is plain, and how often files are looked at. */
    public record TlsSettings(
            Optional<Certificate> caller,
            Optional<Certificate> administration,
            Optional<Certificate> peer,
            Duration reloadInterval) {}

    /** PEM files of a port; the authorities are given for the peer port only. */
    public record Certificate(Path certificatePath, Path keyPath, Optional<Path> authorityPath) {}

    /** How to reach the platform's store; retries apply to calls that certainly had no effect. */
    public record StoreSettings(
            List<HostAndPort> endpoints,
            Duration callTimeout,
            Duration connectTimeout,
            int retryLimitAttempts,
            Duration retryMinDelay,
            Duration retryMaxDelay) {}

    /** Times of promises between entry hosts. */
    public record MembershipSettings(
            Duration promiseTime, Duration heartbeatInterval, double clockDriftRatio, Duration longestAutonomy) {}

    /** Bounds of a daemon. */
    public record DaemonLimits(
            long bodyLimitBytes,
            int headerLimitBytes,
            int administrationBodyLimitBytes,
            Duration callerIdleTimeout,
            Duration serverIdleTimeout,
            Duration shutdownGrace,
            Duration balancerWait) {}

    /** Bounds of administration; the wait is that of an answer until the change is in force. */
    public record AdministrationSettings(AdministrationLimits limits, Duration inForceWait) {}

    /** An operator, known by the hash of a key. */
    public record OperatorSettings(String name, String sha256Hex, OperatorRole role) {}

    /** The platform's list of live hosts; absent when the site has none. */
    public record LiveHostsSettings(Optional<HostAndPort> address, Duration pollInterval) {}

    /** Regions by availability zone, and availability zones by rack. */
    public record Topology(Map<String, String> regionByZone, Map<String, String> zoneByRack) {

        /** Copies the maps. */
        public Topology {
            regionByZone = Map.copyOf(regionByZone);
            zoneByRack = Map.copyOf(zoneByRack);
        }
    }
}

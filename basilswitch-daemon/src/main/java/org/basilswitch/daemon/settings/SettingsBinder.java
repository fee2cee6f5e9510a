package org.basilswitch.daemon.settings;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.basilswitch.administration.AdministrationLimits;
import org.basilswitch.administration.OperatorRole;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;

/** Builds typed settings from complete and consistent values. */
final class SettingsBinder {
    private final SettingsValues values;

    private SettingsBinder(SettingsValues values) {
        this.values = values;
    }

    /** Returns the settings; throws if a required value is absent. */
    static Settings bind(SettingsValues values) {
        SettingsBinder binder = new SettingsBinder(values);
        return new Settings(
                binder.text("site"),
                binder.bindRecords("entryHosts", binder::entryHost),
                binder.tls(),
                binder.store(),
                binder.membership(),
                binder.limits(),
                binder.administration(),
                binder.bindRecords("operators", binder::operator),
                new Settings.LiveHostsSettings(
                        values.address("liveHosts.address"), binder.duration("liveHosts.pollIntervalMs")),
                binder.topology(),
                binder.records(),
                values.asMap());
    }

    private <T> List<T> bindRecords(String section, Function<String, T> builder) {
        return values.names(section).stream().map(builder).toList();
    }

    private String text(String path) {
        return values.text(path).orElseThrow();
    }

    private long longNumber(String path) {
        return values.wholeNumber(path).orElseThrow();
    }

    private int intNumber(String path) {
        return Math.toIntExact(longNumber(path));
    }

    private boolean flag(String path) {
        return values.flag(path).orElseThrow();
    }

    private Duration duration(String path) {
        return Duration.ofMillis(longNumber(path));
    }

    private Settings.EntryHostSettings entryHost(String name) {
        String path = "entryHosts." + name;
        return new Settings.EntryHostSettings(
                name,
                text(path + ".zone"),
                values.address(path + ".callerAddress").orElseThrow(),
                values.address(path + ".administrationAddress").orElseThrow(),
                values.address(path + ".peerAddress").orElseThrow());
    }

    private Settings.TlsSettings tls() {
        return new Settings.TlsSettings(
                certificate("tls.caller"),
                certificate("tls.administration"),
                certificate("tls.peer"),
                duration("tls.reloadIntervalMs"));
    }

    private Optional<Settings.Certificate> certificate(String path) {
        return values.text(path + ".certificatePath")
                .map(certificate -> new Settings.Certificate(
                        Path.of(certificate),
                        Path.of(text(path + ".keyPath")),
                        values.text(path + ".authorityPath").map(Path::of)));
    }

    private Settings.StoreSettings store() {
        return new Settings.StoreSettings(
                values.addresses("store.endpoints"),
                duration("store.callTimeoutMs"),
                duration("store.connectTimeoutMs"),
                intNumber("store.retryLimitAttempts"),
                duration("store.retryMinDelayMs"),
                duration("store.retryMaxDelayMs"));
    }

    private Settings.MembershipSettings membership() {
        return new Settings.MembershipSettings(
                duration("membership.promiseTimeMs"),
                duration("membership.heartbeatIntervalMs"),
                values.decimal("membership.clockDriftRatio").orElseThrow(),
                duration("membership.longestAutonomyMs"));
    }

    private Settings.DaemonLimits limits() {
        return new Settings.DaemonLimits(
                longNumber("limits.bodyLimitBytes"),
                intNumber("limits.headerLimitBytes"),
                intNumber("limits.administrationBodyLimitBytes"),
                longNumber("limits.callers.bufferBytes"),
                intNumber("limits.callers.connections"),
                intNumber("limits.callerAddress.connections"),
                duration("limits.callerIdleTimeoutMs"),
                duration("limits.serverIdleTimeoutMs"),
                duration("limits.shutdownGraceMs"),
                duration("limits.balancerWaitMs"));
    }

    private Settings.AdministrationSettings administration() {
        AdministrationLimits limits = new AdministrationLimits(
                duration("administration.operationRetentionMs"),
                duration("administration.auditRetentionMs"),
                duration("administration.answerTimeMs"));
        return new Settings.AdministrationSettings(limits, duration("administration.inForceWaitMs"));
    }

    private Settings.OperatorSettings operator(String name) {
        String path = "operators." + name;
        return new Settings.OperatorSettings(name, text(path + ".sha256Hex"), OperatorRole.of(text(path + ".role")));
    }

    private Settings.Topology topology() {
        Map<String, String> regions = new LinkedHashMap<>();
        values.names("zones").forEach(zone -> regions.put(zone, text("zones." + zone + ".region")));
        Map<String, String> zones = new LinkedHashMap<>();
        values.names("racks").forEach(rack -> zones.put(rack, text("racks." + rack + ".zone")));
        return new Settings.Topology(regions, zones);
    }

    private List<ConfigurationRecord> records() {
        List<ConfigurationRecord> records = new ArrayList<>();
        records.addAll(bindRecords("teams", this::team));
        records.addAll(bindRecords("keys", this::key));
        records.addAll(bindRecords("pools", this::pool));
        records.addAll(bindRecords("hosts", this::host));
        records.addAll(bindRecords("queues", this::queue));
        return records;
    }

    private Team team(String name) {
        String path = "teams." + name;
        return new Team(name, intNumber(path + ".shareWeight"), intNumber(path + ".limitTasks"));
    }

    private TeamKey key(String name) {
        String path = "keys." + name;
        return new TeamKey(name, text(path + ".team"), text(path + ".sha256Hex"));
    }

    private Pool pool(String name) {
        String path = "pools." + name;
        return new Pool(name, intNumber(path + ".minAvailableHosts"), flag(path + ".spare"));
    }

    private Host host(String name) {
        String path = "hosts." + name + ".";
        String rack = text(path + "rack");
        return new Host(
                name,
                values.address(path + "address").orElseThrow().toString(),
                text("racks." + rack + ".zone"),
                rack,
                text(path + "pool"),
                HostState.ACTIVE,
                (int) hostNumber(path, "slots"),
                (int) hostNumber(path, "connections"),
                (int) hostNumber(path, "processors"),
                hostNumber(path, "memoryBytes"),
                (int) hostNumber(path, "accelerators"));
    }

    private long hostNumber(String hostPath, String field) {
        return values.wholeNumber(hostPath + field).orElseGet(() -> longNumber("hostDefaults." + field));
    }

    private Queue queue(String name) {
        String path = "queues." + name + ".";
        return new Queue(
                name,
                text(path + "pool"),
                flag(path + "openToAll"),
                flag(path + "idempotent"),
                longNumber(path + "claimTimeMs"),
                longNumber(path + "deadlineMs"),
                longNumber(path + "bodyLimitBytes"),
                intNumber(path + "queuedLimitRequests"));
    }
}

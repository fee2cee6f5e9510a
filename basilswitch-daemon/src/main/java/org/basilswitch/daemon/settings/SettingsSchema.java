package org.basilswitch.daemon.settings;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.administration.OperatorRole;
import org.basilswitch.administration.RecordField;

import static org.basilswitch.daemon.settings.SettingsField.defaulted;
import static org.basilswitch.daemon.settings.SettingsField.optional;
import static org.basilswitch.daemon.settings.SettingsField.required;
import static org.basilswitch.daemon.settings.SettingsField.whole;

/** The table of all fields; docs/SETTINGS.md is generated from it and a test holds the page against it. */
final class SettingsSchema {
    private static final long MIB = 1L << 20;
    private static final long GIB = 1L << 30;
    private static final long HOUR_MS = 3_600_000;
    private static final FieldType NAME = FieldType.Text.name();
    private static final FieldType PATH = FieldType.Text.path();
    private static final FieldType HASH = FieldType.Text.sha256();
    private static final FieldType ADDRESS = new FieldType.Address();
    private static final FieldType FLAG = new FieldType.Flag();
    private static final List<SettingsField> FIELDS = List.of(
            required("site", NAME, Unit.NONE, "Name of the site; prefix of its keys in the platform's store."),
            required("entryHosts.*.zone", NAME, Unit.NONE, "Availability zone of the entry host."),
            required("entryHosts.*.callerAddress", ADDRESS, Unit.NONE, "Where callers are accepted."),
            required("entryHosts.*.administrationAddress", ADDRESS, Unit.NONE, "Where operators are accepted."),
            required("entryHosts.*.peerAddress", ADDRESS, Unit.NONE, "Where other entry hosts are accepted."),
            optional("tls.caller.certificatePath", PATH, Unit.NONE, "Certificate chain of the caller port."),
            optional("tls.caller.keyPath", PATH, Unit.NONE, "Private key of the caller port."),
            optional("tls.administration.certificatePath", PATH, Unit.NONE, "Certificate chain of this port."),
            optional("tls.administration.keyPath", PATH, Unit.NONE, "Private key of the administration port."),
            optional("tls.peer.certificatePath", PATH, Unit.NONE, "Certificate chain of the peer port."),
            optional("tls.peer.keyPath", PATH, Unit.NONE, "Private key of the peer port."),
            optional("tls.peer.authorityPath", PATH, Unit.NONE, "Authorities that peers' certificates need."),
            whole("tls.reloadIntervalMs", 100, HOUR_MS, 10_000, Unit.MILLISECONDS, "Time between looks at PEM files."),
            required("store.endpoints", new FieldType.Addresses(), Unit.NONE, "Addresses of the platform's store."),
            whole("store.callTimeoutMs", 10, 60_000, 1_000, Unit.MILLISECONDS, "Longest wait for a call's answer."),
            whole("store.connectTimeoutMs", 10, 60_000, 500, Unit.MILLISECONDS, "Longest wait for a connection."),
            whole("store.retryLimitAttempts", 0, 20, 4, Unit.ATTEMPTS, "Retries of a call that had no effect."),
            whole("store.retryMinDelayMs", 1, 10_000, 20, Unit.MILLISECONDS, "First delay between retries."),
            whole("store.retryMaxDelayMs", 1, 60_000, 1_000, Unit.MILLISECONDS, "Longest delay between retries."),
            whole("membership.promiseTimeMs", 200, 60_000, 2_000, Unit.MILLISECONDS, "How long a promise lasts."),
            whole("membership.heartbeatIntervalMs", 20, 10_000, 300, Unit.MILLISECONDS, "Time between heartbeats."),
            defaulted(
                    "membership.clockDriftRatio",
                    new FieldType.Decimal(0, 0.2),
                    Unit.RATIO,
                    0.01,
                    "Largest relative difference of two hosts' monotonic clocks."),
            whole(
                    "membership.longestAutonomyMs",
                    1_000,
                    HOUR_MS,
                    10_000,
                    Unit.MILLISECONDS,
                    "Wait before a member that may still run is removed."),
            whole("limits.bodyLimitBytes", 1_024, GIB, 16 * MIB, Unit.BYTES, "Largest body of any queue."),
            whole("limits.headerLimitBytes", 1_024, MIB, 16_384, Unit.BYTES, "Largest request header."),
            whole("limits.administrationBodyLimitBytes", 1_024, MIB, MIB, Unit.BYTES, "Largest change."),
            whole("limits.callerIdleTimeoutMs", 100, HOUR_MS, 30_000, Unit.MILLISECONDS, "Longest pause of a caller."),
            whole("limits.serverIdleTimeoutMs", 100, HOUR_MS, 60_000, Unit.MILLISECONDS, "Longest pause of a server."),
            whole("limits.shutdownGraceMs", 0, HOUR_MS, 30_000, Unit.MILLISECONDS, "Longest wait for open requests."),
            whole("limits.balancerWaitMs", 0, 60_000, 2_000, Unit.MILLISECONDS, "Not ready but serving at shutdown."),
            whole(
                    "administration.operationRetentionMs",
                    60_000,
                    168 * HOUR_MS,
                    24 * HOUR_MS,
                    Unit.MILLISECONDS,
                    "How long a change's result can be asked for."),
            whole(
                    "administration.auditRetentionMs",
                    60_000,
                    2_000 * HOUR_MS,
                    336 * HOUR_MS,
                    Unit.MILLISECONDS,
                    "How long audit records are kept."),
            whole(
                    "administration.answerTimeMs",
                    500,
                    60_000,
                    5_000,
                    Unit.MILLISECONDS,
                    "Longest time to find out what became of a change."),
            whole(
                    "administration.inForceWaitMs",
                    0,
                    60_000,
                    6_000,
                    Unit.MILLISECONDS,
                    "Longest wait of an answer until the change is in force."),
            required("operators.*.sha256Hex", HASH, Unit.NONE, "SHA-256 of the operator's key."),
            defaulted(
                    "operators.*.role",
                    FieldType.Text.choice(OperatorRole.texts()),
                    Unit.NONE,
                    OperatorRole.VIEWER.text(),
                    "viewer reads; operator also changes hosts and waves; administrator changes everything."),
            optional("liveHosts.address", ADDRESS, Unit.NONE, "Address of the platform's list of live hosts."),
            whole("liveHosts.pollIntervalMs", 100, 60_000, 1_000, Unit.MILLISECONDS, "Time between reads of it."),
            record(
                    "hostDefaults.slots",
                    RecordField.HOST_SLOTS,
                    8,
                    Unit.SLOTS,
                    "Requests that a backend server runs at a time."),
            record(
                    "hostDefaults.connections",
                    RecordField.HOST_CONNECTIONS,
                    64,
                    Unit.CONNECTIONS,
                    "Connections to a backend server."),
            record(
                    "hostDefaults.processors",
                    RecordField.HOST_PROCESSORS,
                    64,
                    Unit.PROCESSORS,
                    "Processors of a host."),
            record(
                    "hostDefaults.memoryBytes",
                    RecordField.HOST_MEMORY_BYTES,
                    256 * GIB,
                    Unit.BYTES,
                    "Memory of a host."),
            record(
                    "hostDefaults.accelerators",
                    RecordField.HOST_ACCELERATORS,
                    0,
                    Unit.ACCELERATORS,
                    "Accelerators of a host."),
            defaulted("zones.*.region", NAME, Unit.NONE, "local", "Region of the availability zone."),
            required("racks.*.zone", NAME, Unit.NONE, "Availability zone of the rack."),
            record(
                    "pools.*.minAvailableHosts",
                    RecordField.POOL_MIN_AVAILABLE_HOSTS,
                    0,
                    Unit.HOSTS,
                    "Hosts that maintenance leaves active."),
            defaulted("pools.*.spare", FLAG, Unit.NONE, false, "Whether it is the spare pool; at most one is."),
            required("hosts.*.address", ADDRESS, Unit.NONE, "Address of the host's backend server."),
            required("hosts.*.rack", NAME, Unit.NONE, "Rack of the host."),
            required("hosts.*.pool", NAME, Unit.NONE, "Pool that the host starts in."),
            optional("hosts.*.slots", range(RecordField.HOST_SLOTS), Unit.SLOTS, "Differs from hostDefaults."),
            optional("hosts.*.connections", range(RecordField.HOST_CONNECTIONS), Unit.CONNECTIONS, "Likewise."),
            optional("hosts.*.processors", range(RecordField.HOST_PROCESSORS), Unit.PROCESSORS, "Likewise."),
            optional("hosts.*.memoryBytes", range(RecordField.HOST_MEMORY_BYTES), Unit.BYTES, "Likewise."),
            optional("hosts.*.accelerators", range(RecordField.HOST_ACCELERATORS), Unit.ACCELERATORS, "Likewise."),
            required("queues.*.pool", NAME, Unit.NONE, "Pool that serves the queue."),
            defaulted("queues.*.openToAll", FLAG, Unit.NONE, false, "Whether requests without a key are taken."),
            defaulted("queues.*.idempotent", FLAG, Unit.NONE, false, "Whether a request may be sent again."),
            record(
                    "queues.*.claimTimeMs",
                    RecordField.QUEUE_CLAIM_TIME_MS,
                    24 * HOUR_MS,
                    Unit.MILLISECONDS,
                    "Life of an id."),
            record(
                    "queues.*.deadlineMs",
                    RecordField.QUEUE_DEADLINE_MS,
                    30_000,
                    Unit.MILLISECONDS,
                    "Deadline if none is stated."),
            record(
                    "queues.*.bodyLimitBytes",
                    RecordField.QUEUE_BODY_LIMIT_BYTES,
                    MIB,
                    Unit.BYTES,
                    "Largest request body."),
            record(
                    "queues.*.queuedLimitRequests",
                    RecordField.QUEUE_QUEUED_LIMIT_REQUESTS,
                    1_000,
                    Unit.REQUESTS,
                    "Waiting at one entry host."),
            record(
                    "teams.*.shareWeight",
                    RecordField.TEAM_SHARE_WEIGHT,
                    1,
                    Unit.WEIGHT,
                    "Weight of the team's share when all is full."),
            required(
                    "teams.*.limitTasks",
                    range(RecordField.TEAM_LIMIT_TASKS),
                    Unit.TASKS,
                    "Most running in the fleet."),
            required("keys.*.team", NAME, Unit.NONE, "Team that the key speaks for."),
            required("keys.*.sha256Hex", HASH, Unit.NONE, "SHA-256 of the key's secret."));

    private static final Map<String, SettingsField> BY_PATH = byPath();
    private static final Set<String> SECTIONS = sections();

    private SettingsSchema() {}

    private static FieldType range(RecordField field) {
        return new FieldType.Whole(field.min(), field.max());
    }

    private static SettingsField record(String path, RecordField field, long defaultValue, Unit unit, String meaning) {
        return defaulted(path, range(field), unit, defaultValue, meaning);
    }

    private static Map<String, SettingsField> byPath() {
        Map<String, SettingsField> fields = new LinkedHashMap<>();
        FIELDS.forEach(field -> fields.put(field.path(), field));
        return fields;
    }

    private static Set<String> sections() {
        Set<String> sections = new LinkedHashSet<>();
        for (SettingsField field : FIELDS) {
            for (String path = field.section(); !path.isEmpty(); path = parent(path)) {
                sections.add(path);
            }
        }
        return sections;
    }

    private static String parent(String path) {
        int dot = path.lastIndexOf('.');
        return dot < 0 ? "" : path.substring(0, dot);
    }

    /** All fields, in the order of the settings page. */
    static List<SettingsField> fields() {
        return FIELDS;
    }

    /** The field at a path. */
    static Optional<SettingsField> field(String path) {
        return Optional.ofNullable(BY_PATH.get(path));
    }

    /** Whether a path is an object's. */
    static boolean isSection(String path) {
        return SECTIONS.contains(path);
    }

    /** Whether a path is that of an object of named records. */
    static boolean holdsRecords(String path) {
        return SECTIONS.contains(path + ".*");
    }

    /** Fields directly in a section. */
    static List<SettingsField> fieldsOf(String section) {
        return FIELDS.stream().filter(field -> field.section().equals(section)).toList();
    }

    /** Sections directly in a section. */
    static List<String> sectionsOf(String section) {
        return SECTIONS.stream()
                .filter(path -> parent(path).equals(section) && !path.endsWith("*"))
                .toList();
    }
}

package org.basilswitch.daemon.settings;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.administration.OperatorRole;
import org.basilswitch.administration.RecordField;

import static org.basilswitch.daemon.settings.SettingsField.optional;
import static org.basilswitch.daemon.settings.SettingsField.required;
import static org.basilswitch.daemon.settings.SettingsField.wholeNumber;
import static org.basilswitch.daemon.settings.SettingsField.withDefault;

/** The list of all fields; docs/SETTINGS.md is generated from it, and a test compares the page with it. */
final class SettingsSchema {
    private static final long MIB = 1L << 20;
    private static final long GIB = 1L << 30;
    private static final long HOUR_MS = 3_600_000;
    private static final FieldType NAME = FieldType.Text.recordName();
    private static final FieldType PATH = FieldType.Text.filePath();
    private static final FieldType HASH = FieldType.Text.sha256();
    private static final FieldType ADDRESS = new FieldType.Address();
    private static final FieldType FLAG = new FieldType.Flag();
    private static final List<SettingsField> FIELDS = List.of(
            required("site", NAME, Unit.NONE, "Name of the site; prefix of its keys in the platform's store."),
            required("entryHosts.*.zone", NAME, Unit.NONE, "Availability zone of the entry host."),
            required("entryHosts.*.callerAddress", ADDRESS, Unit.NONE, "Listen address for callers."),
            required("entryHosts.*.administrationAddress", ADDRESS, Unit.NONE, "Listen address for operators."),
            required("entryHosts.*.peerAddress", ADDRESS, Unit.NONE, "Listen address for other entry hosts."),
            optional("tls.caller.certificatePath", PATH, Unit.NONE, "Certificate chain of the caller port."),
            optional("tls.caller.keyPath", PATH, Unit.NONE, "Private key of the caller port."),
            optional(
                    "tls.administration.certificatePath",
                    PATH,
                    Unit.NONE,
                    "Certificate chain of the administration port."),
            optional("tls.administration.keyPath", PATH, Unit.NONE, "Private key of the administration port."),
            optional("tls.peer.certificatePath", PATH, Unit.NONE, "Certificate chain of the peer port."),
            optional("tls.peer.keyPath", PATH, Unit.NONE, "Private key of the peer port."),
            optional(
                    "tls.peer.authorityPath",
                    PATH,
                    Unit.NONE,
                    "Certificate authorities that peers' certificates are checked against."),
            wholeNumber(
                    "tls.reloadIntervalMs",
                    100,
                    HOUR_MS,
                    10_000,
                    Unit.MILLISECONDS,
                    "Time between checks of the PEM files for changes."),
            required("store.endpoints", new FieldType.Addresses(), Unit.NONE, "Addresses of the platform's store."),
            wholeNumber("store.callTimeoutMs", 10, 60_000, 1_000, Unit.MILLISECONDS, "Timeout of a store call."),
            wholeNumber(
                    "store.connectTimeoutMs", 10, 60_000, 500, Unit.MILLISECONDS, "Timeout of a connection attempt."),
            wholeNumber(
                    "store.retryLimitAttempts",
                    0,
                    20,
                    4,
                    Unit.ATTEMPTS,
                    "Most retries of a call that is known to have had no effect."),
            wholeNumber("store.retryMinDelayMs", 1, 10_000, 20, Unit.MILLISECONDS, "First delay between retries."),
            wholeNumber("store.retryMaxDelayMs", 1, 60_000, 1_000, Unit.MILLISECONDS, "Longest delay between retries."),
            wholeNumber(
                    "membership.promiseTimeMs",
                    200,
                    60_000,
                    2_000,
                    Unit.MILLISECONDS,
                    "How long an entry host's promise to another one lasts."),
            wholeNumber(
                    "membership.heartbeatIntervalMs", 20, 10_000, 300, Unit.MILLISECONDS, "Time between heartbeats."),
            withDefault(
                    "membership.clockDriftRatio",
                    new FieldType.DecimalNumber(0, 0.2),
                    Unit.RATIO,
                    0.01,
                    "Largest relative difference of two hosts' monotonic clocks."),
            wholeNumber(
                    "membership.longestAutonomyMs",
                    1_000,
                    HOUR_MS,
                    10_000,
                    Unit.MILLISECONDS,
                    "Time before a member that may still be running is removed."),
            wholeNumber(
                    "limits.bodyLimitBytes", 1_024, GIB, 16 * MIB, Unit.BYTES, "Largest request body of any queue."),
            wholeNumber("limits.headerLimitBytes", 1_024, MIB, 16_384, Unit.BYTES, "Largest request header."),
            wholeNumber(
                    "limits.administrationBodyLimitBytes", 1_024, MIB, MIB, Unit.BYTES, "Largest body of a change."),
            wholeNumber(
                    "limits.callers.bufferBytes",
                    MIB,
                    1_024 * GIB,
                    64 * MIB,
                    Unit.BYTES,
                    "Memory for callers' unfinished headers, requests in work and unread answers, at most a quarter of the heap; "
                            + "when it is used up, stalled connections are closed first."),
            wholeNumber(
                    "limits.callers.connections",
                    16,
                    MIB,
                    8_192,
                    Unit.CONNECTIONS,
                    "Most connections of callers; a new one takes the place of one without a whole request."),
            wholeNumber(
                    "limits.callerAddress.connections",
                    0,
                    MIB,
                    0,
                    Unit.CONNECTIONS,
                    "Most connections of one caller's address; 0 for no limit, as a load balancer's callers share an address."),
            wholeNumber(
                    "limits.callerIdleTimeoutMs",
                    100,
                    HOUR_MS,
                    30_000,
                    Unit.MILLISECONDS,
                    "Longest pause of a caller while it sends a request."),
            wholeNumber(
                    "limits.serverIdleTimeoutMs",
                    100,
                    HOUR_MS,
                    60_000,
                    Unit.MILLISECONDS,
                    "Idle timeout of a connection to a backend server."),
            wholeNumber(
                    "limits.shutdownGraceMs",
                    0,
                    HOUR_MS,
                    30_000,
                    Unit.MILLISECONDS,
                    "Longest wait for open requests at shutdown."),
            wholeNumber(
                    "limits.balancerWaitMs",
                    0,
                    60_000,
                    2_000,
                    Unit.MILLISECONDS,
                    "Time at shutdown during which requests are served although the entry host reports that it is not ready."),
            wholeNumber(
                    "administration.operationRetentionMs",
                    60_000,
                    168 * HOUR_MS,
                    24 * HOUR_MS,
                    Unit.MILLISECONDS,
                    "How long the result of a change can be queried."),
            wholeNumber(
                    "administration.auditRetentionMs",
                    60_000,
                    2_000 * HOUR_MS,
                    336 * HOUR_MS,
                    Unit.MILLISECONDS,
                    "How long audit records are kept."),
            wholeNumber(
                    "administration.answerTimeMs",
                    500,
                    60_000,
                    5_000,
                    Unit.MILLISECONDS,
                    "Longest time for determining the result of a change."),
            wholeNumber(
                    "administration.inForceWaitMs",
                    0,
                    60_000,
                    6_000,
                    Unit.MILLISECONDS,
                    "Longest delay of a response until its change is in force."),
            required("operators.*.sha256Hex", HASH, Unit.NONE, "SHA-256 of the operator's key."),
            withDefault(
                    "operators.*.role",
                    FieldType.Text.choice(OperatorRole.texts()),
                    Unit.NONE,
                    OperatorRole.VIEWER.text(),
                    "viewer reads; operator also changes hosts and waves; administrator changes everything."),
            optional("liveHosts.address", ADDRESS, Unit.NONE, "Address of the platform's list of live hosts."),
            wholeNumber(
                    "liveHosts.pollIntervalMs",
                    100,
                    60_000,
                    1_000,
                    Unit.MILLISECONDS,
                    "Time between reads of that list."),
            recordField(
                    "hostDefaults.slots",
                    RecordField.HOST_SLOTS,
                    8,
                    Unit.SLOTS,
                    "Requests that a backend server runs concurrently."),
            recordField(
                    "hostDefaults.connections",
                    RecordField.HOST_CONNECTIONS,
                    64,
                    Unit.CONNECTIONS,
                    "Most connections to a backend server."),
            recordField(
                    "hostDefaults.processors",
                    RecordField.HOST_PROCESSORS,
                    64,
                    Unit.PROCESSORS,
                    "Processors of a host."),
            recordField(
                    "hostDefaults.memoryBytes",
                    RecordField.HOST_MEMORY_BYTES,
                    256 * GIB,
                    Unit.BYTES,
                    "Memory of a host."),
            recordField(
                    "hostDefaults.accelerators",
                    RecordField.HOST_ACCELERATORS,
                    0,
                    Unit.ACCELERATORS,
                    "Accelerators of a host."),
            withDefault("zones.*.region", NAME, Unit.NONE, "local", "Region of the availability zone."),
            required("racks.*.zone", NAME, Unit.NONE, "Availability zone of the rack."),
            recordField(
                    "pools.*.minAvailableHosts",
                    RecordField.POOL_MIN_AVAILABLE_HOSTS,
                    0,
                    Unit.HOSTS,
                    "Least number of hosts that maintenance leaves active."),
            withDefault(
                    "pools.*.spare", FLAG, Unit.NONE, false, "Whether this is the spare pool; a site has at most one."),
            required("hosts.*.address", ADDRESS, Unit.NONE, "Address of the host's backend server."),
            required("hosts.*.rack", NAME, Unit.NONE, "Rack of the host."),
            required("hosts.*.pool", NAME, Unit.NONE, "Initial pool of the host."),
            optional("hosts.*.slots", range(RecordField.HOST_SLOTS), Unit.SLOTS, "Overrides hostDefaults."),
            optional("hosts.*.connections", range(RecordField.HOST_CONNECTIONS), Unit.CONNECTIONS, "Likewise."),
            optional("hosts.*.processors", range(RecordField.HOST_PROCESSORS), Unit.PROCESSORS, "Likewise."),
            optional("hosts.*.memoryBytes", range(RecordField.HOST_MEMORY_BYTES), Unit.BYTES, "Likewise."),
            optional("hosts.*.accelerators", range(RecordField.HOST_ACCELERATORS), Unit.ACCELERATORS, "Likewise."),
            required("queues.*.pool", NAME, Unit.NONE, "Pool that serves the queue."),
            withDefault("queues.*.openToAll", FLAG, Unit.NONE, false, "Whether requests without a key are accepted."),
            withDefault(
                    "queues.*.idempotent",
                    FLAG,
                    Unit.NONE,
                    false,
                    "Whether a request may be sent again after it may have run."),
            recordField(
                    "queues.*.claimTimeMs",
                    RecordField.QUEUE_CLAIM_TIME_MS,
                    24 * HOUR_MS,
                    Unit.MILLISECONDS,
                    "How long an idempotency key stays claimed."),
            recordField(
                    "queues.*.deadlineMs",
                    RecordField.QUEUE_DEADLINE_MS,
                    30_000,
                    Unit.MILLISECONDS,
                    "Deadline of a request that states none."),
            recordField(
                    "queues.*.bodyLimitBytes",
                    RecordField.QUEUE_BODY_LIMIT_BYTES,
                    MIB,
                    Unit.BYTES,
                    "Largest request body."),
            recordField(
                    "queues.*.queuedLimitRequests",
                    RecordField.QUEUE_QUEUED_LIMIT_REQUESTS,
                    1_000,
                    Unit.REQUESTS,
                    "Most requests waiting at one entry host."),
            recordField(
                    "teams.*.shareWeight",
                    RecordField.TEAM_SHARE_WEIGHT,
                    1,
                    Unit.WEIGHT,
                    "Weight of the team's share when the fleet is full."),
            required(
                    "teams.*.limitTasks",
                    range(RecordField.TEAM_LIMIT_TASKS),
                    Unit.TASKS,
                    "Most requests running in the fleet."),
            required("keys.*.team", NAME, Unit.NONE, "Team that the key authenticates."),
            required("keys.*.sha256Hex", HASH, Unit.NONE, "SHA-256 of the key's secret."));

    private static final Map<String, SettingsField> BY_PATH = indexByPath();
    private static final Set<String> SECTIONS = collectSections();

    private SettingsSchema() {}

    private static FieldType range(RecordField field) {
        return new FieldType.WholeNumber(field.min(), field.max());
    }

    private static SettingsField recordField(
            String path, RecordField field, long defaultValue, Unit unit, String meaning) {
        return withDefault(path, range(field), unit, defaultValue, meaning);
    }

    private static Map<String, SettingsField> indexByPath() {
        Map<String, SettingsField> fields = new LinkedHashMap<>();
        FIELDS.forEach(field -> fields.put(field.path(), field));
        return fields;
    }

    private static Set<String> collectSections() {
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

    /** Returns all fields in the order of the settings page. */
    static List<SettingsField> fields() {
        return FIELDS;
    }

    /** Returns the field at a path; empty if there is none. */
    static Optional<SettingsField> field(String path) {
        return Optional.ofNullable(BY_PATH.get(path));
    }

    /** Returns whether a path is that of an object. */
    static boolean isSection(String path) {
        return SECTIONS.contains(path);
    }

    /** Returns whether a path is that of an object that holds named records. */
    static boolean isRecordSection(String path) {
        return SECTIONS.contains(path + ".*");
    }

    /** Returns the fields directly in a section. */
    static List<SettingsField> fieldsOf(String section) {
        return FIELDS.stream().filter(field -> field.section().equals(section)).toList();
    }

    /** Returns the sections directly in a section. */
    static List<String> sectionsOf(String section) {
        return SECTIONS.stream()
                .filter(path -> parent(path).equals(section) && !path.endsWith("*"))
                .toList();
    }
}

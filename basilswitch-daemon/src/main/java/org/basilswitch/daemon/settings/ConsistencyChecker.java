package org.basilswitch.daemon.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.net.HostAndPort;

/** Checks that the values of different fields are consistent; skips fields that are absent or invalid. */
final class ConsistencyChecker {
    /** A promise outlasts two lost heartbeats only when at least three are sent within its time. */
    private static final int MIN_HEARTBEATS_PER_PROMISE = 3;

    private static final List<String> ENTRY_HOST_ADDRESS_FIELDS =
            List.of("callerAddress", "administrationAddress", "peerAddress");

    private final SettingsValues values;
    private final List<SettingsProblem> problems;

    private ConsistencyChecker(SettingsValues values, List<SettingsProblem> problems) {
        this.values = values;
        this.problems = problems;
    }

    /** Adds a problem for each inconsistency. */
    static void check(SettingsValues values, List<SettingsProblem> problems) {
        ConsistencyChecker checker = new ConsistencyChecker(values, problems);
        checker.checkDurations();
        checker.checkReferences();
        checker.checkPools();
        checker.checkQueues();
        checker.checkAddresses();
        checker.checkHashes();
        checker.checkCertificates();
    }

    private void report(String field, String fault, String remedy) {
        problems.add(new SettingsProblem.Contradictory(values.location(field), field, fault, remedy));
    }

    private void checkDurations() {
        Optional<Long> promise = values.wholeNumber("membership.promiseTimeMs");
        Optional<Long> interval = values.wholeNumber("membership.heartbeatIntervalMs");
        if (promise.isPresent()
                && interval.isPresent()
                && interval.get() * MIN_HEARTBEATS_PER_PROMISE > promise.get()) {
            report(
                    "membership.heartbeatIntervalMs",
                    interval.get() + " ms is more than a third of membership.promiseTimeMs, " + promise.get() + " ms",
                    "to keep a promise despite two lost heartbeats, write at most "
                            + promise.get() / MIN_HEARTBEATS_PER_PROMISE);
        }
        checkAtMost("membership.promiseTimeMs", "membership.longestAutonomyMs");
        checkAtMost("store.retryMinDelayMs", "store.retryMaxDelayMs");
        checkAtMost("store.connectTimeoutMs", "store.callTimeoutMs");
        checkAtMost("limits.balancerWaitMs", "limits.shutdownGraceMs");
        checkAtMost("limits.callerAddress.connections", "limits.callers.connections");
    }

    private void checkAtMost(String lower, String upper) {
        Optional<Long> low = values.wholeNumber(lower);
        Optional<Long> high = values.wholeNumber(upper);
        if (low.isPresent() && high.isPresent() && low.get() > high.get()) {
            report(lower, low.get() + " is more than " + upper + ", " + high.get(), "lower it or raise " + upper);
        }
    }

    private void checkReferences() {
        checkReference("entryHosts", "zone", "zones");
        checkReference("racks", "zone", "zones");
        checkReference("hosts", "rack", "racks");
        checkReference("hosts", "pool", "pools");
        checkReference("queues", "pool", "pools");
        checkReference("keys", "team", "teams");
    }

    private void checkReference(String section, String field, String target) {
        for (String name : values.names(section)) {
            String path = section + "." + name + "." + field;
            values.text(path).filter(value -> !values.hasRecord(target, value)).ifPresent(value -> {
                String alternatives = values.names(target).isEmpty()
                        ? ""
                        : " or name one of: " + String.join(", ", values.names(target));
                report(path, "\"" + value + "\" is not in " + target, "add it there" + alternatives);
            });
        }
    }

    private void checkPools() {
        Map<String, Long> hosts = new HashMap<>();
        values.names("hosts")
                .forEach(host ->
                        values.text("hosts." + host + ".pool").ifPresent(pool -> hosts.merge(pool, 1L, Long::sum)));
        Optional<String> spare = Optional.empty();
        for (String pool : values.names("pools")) {
            String path = "pools." + pool + ".minAvailableHosts";
            long count = hosts.getOrDefault(pool, 0L);
            values.wholeNumber(path)
                    .filter(minimum -> minimum > count)
                    .ifPresent(minimum -> report(
                            path,
                            minimum + " hosts must stay active but the pool has only " + count,
                            "write at most " + count + " or add hosts"));
            if (values.flag("pools." + pool + ".spare").orElse(false)) {
                spare.ifPresent(other -> report(
                        "pools." + pool + ".spare",
                        "pool " + other + " is already the spare pool",
                        "set it to true in one pool only"));
                spare = Optional.of(pool);
            }
        }
    }

    private void checkQueues() {
        for (String queue : values.names("queues")) {
            checkAtMost("queues." + queue + ".deadlineMs", "queues." + queue + ".claimTimeMs");
            checkAtMost("queues." + queue + ".bodyLimitBytes", "limits.bodyLimitBytes");
        }
    }

    private void checkAddresses() {
        Map<HostAndPort, String> seen = new HashMap<>();
        for (String entry : values.names("entryHosts")) {
            ENTRY_HOST_ADDRESS_FIELDS.forEach(field -> checkUnique("entryHosts." + entry + "." + field, seen));
        }
        values.names("hosts").forEach(host -> checkUnique("hosts." + host + ".address", seen));
    }

    private void checkUnique(String path, Map<HostAndPort, String> seen) {
        values.address(path).ifPresent(address -> {
            String other = seen.putIfAbsent(address, path);
            if (other != null) {
                report(path, address + " is the address of " + other + " as well", "use a different address for each");
            }
        });
    }

    private void checkHashes() {
        Map<String, String> seen = new HashMap<>();
        for (String section : List.of("operators", "keys")) {
            for (String name : values.names(section)) {
                String path = section + "." + name + ".sha256Hex";
                values.text(path)
                        .map(hash -> seen.putIfAbsent(hash, path))
                        .ifPresent(other -> report(path, "is the hash of " + other + " as well", "create another key"));
            }
        }
    }

    private void checkCertificates() {
        for (String port : List.of("caller", "administration", "peer")) {
            checkRequires("tls." + port + ".certificatePath", "tls." + port + ".keyPath");
            checkRequires("tls." + port + ".keyPath", "tls." + port + ".certificatePath");
        }
        checkRequires("tls.peer.authorityPath", "tls.peer.certificatePath");
    }

    private void checkRequires(String field, String needed) {
        if (values.text(field).isPresent() && values.text(needed).isEmpty()) {
            report(field, "is set without " + needed, "set both or neither");
        }
    }
}

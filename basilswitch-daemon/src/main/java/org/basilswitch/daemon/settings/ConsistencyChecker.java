package org.basilswitch.daemon.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vertx.core.net.HostAndPort;

/** Holds fields against each other; fields that are absent or invalid by themselves are passed over. */
final class ConsistencyChecker {
    private static final int HEARTBEATS_PER_PROMISE = 3;
    private static final List<String> ENTRY_PORTS = List.of("callerAddress", "administrationAddress", "peerAddress");

    private final SettingsValues values;
    private final List<SettingsProblem> problems;

    private ConsistencyChecker(SettingsValues values, List<SettingsProblem> problems) {
        this.values = values;
        this.problems = problems;
    }

    /** Reports every contradiction. */
    static void check(SettingsValues values, List<SettingsProblem> problems) {
        ConsistencyChecker contradictions = new ConsistencyChecker(values, problems);
        contradictions.times();
        contradictions.references();
        contradictions.pools();
        contradictions.queues();
        contradictions.addresses();
        contradictions.hashes();
        contradictions.certificates();
    }

    private void report(String field, String fault, String remedy) {
        problems.add(new SettingsProblem.Contradictory(values.location(field), field, fault, remedy));
    }

    private void times() {
        Optional<Long> promise = values.whole("membership.promiseTimeMs");
        Optional<Long> interval = values.whole("membership.heartbeatIntervalMs");
        if (promise.isPresent() && interval.isPresent() && interval.get() * HEARTBEATS_PER_PROMISE > promise.get()) {
            report(
                    "membership.heartbeatIntervalMs",
                    interval.get() + " ms is more than a third of membership.promiseTimeMs, " + promise.get() + " ms",
                    "so that two lost heartbeats cost no promise, write at most "
                            + promise.get() / HEARTBEATS_PER_PROMISE);
        }
        atMost("membership.promiseTimeMs", "membership.longestAutonomyMs");
        atMost("store.retryMinDelayMs", "store.retryMaxDelayMs");
        atMost("store.connectTimeoutMs", "store.callTimeoutMs");
        atMost("limits.balancerWaitMs", "limits.shutdownGraceMs");
    }

    private void atMost(String lower, String upper) {
        Optional<Long> low = values.whole(lower);
        Optional<Long> high = values.whole(upper);
        if (low.isPresent() && high.isPresent() && low.get() > high.get()) {
            report(lower, low.get() + " is more than " + upper + ", " + high.get(), "lower it or raise " + upper);
        }
    }

    private void references() {
        reference("entryHosts", "zone", "zones");
        reference("racks", "zone", "zones");
        reference("hosts", "rack", "racks");
        reference("hosts", "pool", "pools");
        reference("queues", "pool", "pools");
        reference("keys", "team", "teams");
    }

    private void reference(String section, String field, String target) {
        for (String name : values.names(section)) {
            String path = section + "." + name + "." + field;
            values.text(path).filter(value -> !values.has(target, value)).ifPresent(value -> {
                String known = values.names(target).isEmpty()
                        ? ""
                        : " or name one of: " + String.join(", ", values.names(target));
                report(path, "\"" + value + "\" is not in " + target, "add it there" + known);
            });
        }
    }

    private void pools() {
        Map<String, Long> hosts = new HashMap<>();
        values.names("hosts")
                .forEach(host ->
                        values.text("hosts." + host + ".pool").ifPresent(pool -> hosts.merge(pool, 1L, Long::sum)));
        Optional<String> spare = Optional.empty();
        for (String pool : values.names("pools")) {
            String path = "pools." + pool + ".minAvailableHosts";
            long count = hosts.getOrDefault(pool, 0L);
            values.whole(path)
                    .filter(least -> least > count)
                    .ifPresent(least -> report(
                            path,
                            least + " hosts have to stay active but the pool has " + count,
                            "write at most " + count + " or add hosts"));
            if (values.flag("pools." + pool + ".spare").orElse(false)) {
                spare.ifPresent(other -> report(
                        "pools." + pool + ".spare",
                        "pool " + other + " is the spare pool already",
                        "leave it true in one pool only"));
                spare = Optional.of(pool);
            }
        }
    }

    private void queues() {
        for (String queue : values.names("queues")) {
            atMost("queues." + queue + ".deadlineMs", "queues." + queue + ".claimTimeMs");
            atMost("queues." + queue + ".bodyLimitBytes", "limits.bodyLimitBytes");
        }
    }

    private void addresses() {
        Map<HostAndPort, String> seen = new HashMap<>();
        for (String entry : values.names("entryHosts")) {
            ENTRY_PORTS.forEach(port -> unique("entryHosts." + entry + "." + port, seen));
        }
        values.names("hosts").forEach(host -> unique("hosts." + host + ".address", seen));
    }

    private void unique(String path, Map<HostAndPort, String> seen) {
        values.address(path).ifPresent(address -> {
            String other = seen.putIfAbsent(address, path);
            if (other != null) {
                report(path, address + " is the address of " + other + " too", "give each its own address");
            }
        });
    }

    private void hashes() {
        Map<String, String> seen = new HashMap<>();
        for (String section : List.of("operators", "keys")) {
            for (String name : values.names(section)) {
                String path = section + "." + name + ".sha256Hex";
                values.text(path)
                        .map(hash -> seen.putIfAbsent(hash, path))
                        .ifPresent(other -> report(path, "is the hash of " + other + " too", "create another key"));
            }
        }
    }

    private void certificates() {
        for (String port : List.of("caller", "administration", "peer")) {
            together("tls." + port + ".certificatePath", "tls." + port + ".keyPath");
            together("tls." + port + ".keyPath", "tls." + port + ".certificatePath");
        }
        together("tls.peer.authorityPath", "tls.peer.certificatePath");
    }

    private void together(String field, String needed) {
        if (values.text(field).isPresent() && values.text(needed).isEmpty()) {
            report(field, "stands without " + needed, "state both or neither");
        }
    }
}

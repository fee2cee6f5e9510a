package org.basilswitch.administration;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.MaintenanceWave.Phase;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.store.StoreKeys;

/** Validates a change against the whole configuration. */
final class ChangeValidator {
    private static final int MAX_LISTED_NAMES = 5;
    private static final Map<Phase, Set<Phase>> PHASE_TRANSITIONS = Map.of(
            Phase.PLANNED, Set.of(Phase.RUNNING, Phase.ABORTED),
            Phase.RUNNING, Set.of(Phase.PAUSED, Phase.ABORTED),
            Phase.PAUSED, Set.of(Phase.RUNNING, Phase.ABORTED),
            Phase.HALTED, Set.of(Phase.RUNNING, Phase.ABORTED),
            Phase.ABORTED, Set.of(),
            Phase.COMPLETED, Set.of());

    private ChangeValidator() {}

    /** Returns the lowest role that may change records of a kind. */
    static OperatorRole requiredRole(String kind) {
        return switch (kind) {
            case "hosts", "waves" -> OperatorRole.OPERATOR;
            default -> OperatorRole.ADMINISTRATOR;
        };
    }

    /**
     * Returns the keys of the guards that serialise this change with every other change that could invalidate it: the
     * transactions of all these changes compare and rewrite the same guard.
     */
    static Set<String> guardKeys(
            StoreKeys keys, Optional<ConfigurationRecord> before, Optional<ConfigurationRecord> after) {
        Set<String> guards = new LinkedHashSet<>();
        Stream.of(before, after)
                .flatMap(Optional::stream)
                .forEach(record -> guardKey(keys, record).ifPresent(guards::add));
        return guards;
    }

    private static Optional<String> guardKey(StoreKeys keys, ConfigurationRecord record) {
        return switch (record) {
            case Team team -> Optional.of(keys.teamGuard(team.name()));
            case TeamKey teamKey -> Optional.of(keys.teamGuard(teamKey.team()));
            case Pool pool -> Optional.of(keys.poolGuard(pool.name()));
            case Queue queue -> Optional.of(keys.poolGuard(queue.pool()));
            case Host host -> Optional.of(keys.poolGuard(host.pool()));
            case MaintenanceWave wave -> Optional.empty();
        };
    }

    /** Checks the creation or replacement of a record; returns empty when it is allowed. */
    static Optional<ChangeRefusal> checkPut(
            SiteConfiguration view, Optional<ConfigurationRecord> before, ConfigurationRecord after) {
        return switch (after) {
            case Team team -> Optional.empty();
            case TeamKey teamKey -> checkReference(view.teams(), teamKey.team(), "team");
            case Queue queue ->
                checkReference(view.pools(), queue.pool(), "pool").or(() -> checkTimes(queue));
            case Pool pool -> checkPool(view, pool);
            case Host host ->
                checkReference(view.pools(), host.pool(), "pool")
                        .or(() -> before.flatMap(old -> HostChangeValidator.checkChange(view, (Host) old, host)));
            case MaintenanceWave wave -> checkWave(view, before.map(MaintenanceWave.class::cast), wave);
        };
    }

    private static Optional<ChangeRefusal> checkReference(Map<String, ?> records, String name, String kind) {
        return records.containsKey(name)
                ? Optional.empty()
                : refused(ChangeRefusal.Code.REFERENCE_UNKNOWN, kind + " " + name + " does not exist");
    }

    private static Optional<ChangeRefusal> checkTimes(Queue queue) {
        return queue.deadlineMs() > queue.claimTimeMs()
                ? refused(ChangeRefusal.Code.RECORD_INVALID, "claimTimeMs has to be at least deadlineMs")
                : Optional.empty();
    }

    private static Optional<ChangeRefusal> checkPool(SiteConfiguration view, Pool pool) {
        int hosts = view.hostsOf(pool.name()).size();
        if (pool.minAvailableHosts() > hosts && view.pools().containsKey(pool.name())) {
            return refused(
                    ChangeRefusal.Code.RECORD_INVALID,
                    "minAvailableHosts is " + pool.minAvailableHosts() + " but the pool has " + hosts + " hosts");
        }
        return view.pools().values().stream()
                .filter(other -> pool.spare() && other.spare() && !other.name().equals(pool.name()))
                .findFirst()
                .map(other -> new ChangeRefusal(
                        ChangeRefusal.Code.RECORD_INVALID, "pool " + other.name() + " is the spare pool already"));
    }

    private static Optional<ChangeRefusal> checkWave(
            SiteConfiguration view, Optional<MaintenanceWave> before, MaintenanceWave wave) {
        List<String> unknownHosts = wave.hosts().stream()
                .filter(host -> !view.hosts().containsKey(host))
                .toList();
        if (!unknownHosts.isEmpty()) {
            return refused(ChangeRefusal.Code.REFERENCE_UNKNOWN, "no hosts " + String.join(", ", unknownHosts));
        }
        if (before.isEmpty()) {
            return wave.phase() == Phase.PLANNED && wave.done().isEmpty()
                    ? Optional.empty()
                    : refused(ChangeRefusal.Code.STEP_NOT_ALLOWED, "a wave starts as PLANNED with no host done");
        }
        MaintenanceWave old = before.get();
        if (!old.done().equals(wave.done())
                || old.phase() != Phase.PLANNED && !old.hosts().equals(wave.hosts())) {
            return refused(ChangeRefusal.Code.STEP_NOT_ALLOWED, "hosts of a started wave can't be changed");
        }
        return old.phase() == wave.phase() || PHASE_TRANSITIONS.get(old.phase()).contains(wave.phase())
                ? Optional.empty()
                : refused(
                        ChangeRefusal.Code.STEP_NOT_ALLOWED,
                        "a wave that is " + old.phase() + " can't become " + wave.phase());
    }

    /** Checks the deletion of a record; returns empty when it is allowed. */
    static Optional<ChangeRefusal> checkDelete(SiteConfiguration view, ConfigurationRecord record) {
        return switch (record) {
            case Team team ->
                checkNotReferenced(
                        "keys",
                        view.keys().values().stream()
                                .filter(key -> key.team().equals(team.name()))
                                .map(TeamKey::name));
            case Pool pool ->
                checkNotReferenced("hosts", view.hostsOf(pool.name()).stream().map(Host::name))
                        .or(() -> checkNotReferenced(
                                "queues",
                                view.queues().values().stream()
                                        .filter(queue -> queue.pool().equals(pool.name()))
                                        .map(Queue::name)));
            case Host host -> HostChangeValidator.checkDelete(host);
            case MaintenanceWave wave
            when wave.phase() == Phase.RUNNING ->
                refused(ChangeRefusal.Code.STEP_NOT_ALLOWED, "pause or abort the wave first");
            case TeamKey teamKey -> Optional.empty();
            case Queue queue -> Optional.empty();
            case MaintenanceWave wave -> Optional.empty();
        };
    }

    private static Optional<ChangeRefusal> checkNotReferenced(String kind, Stream<String> names) {
        List<String> found = names.sorted().toList();
        return found.isEmpty()
                ? Optional.empty()
                : refused(
                        ChangeRefusal.Code.STILL_REFERENCED,
                        kind + " still name it: "
                                + String.join(", ", found.subList(0, Math.min(found.size(), MAX_LISTED_NAMES)))
                                + (found.size() > MAX_LISTED_NAMES
                                        ? " and " + (found.size() - MAX_LISTED_NAMES) + " more"
                                        : ""));
    }

    private static Optional<ChangeRefusal> refused(ChangeRefusal.Code code, String detail) {
        return Optional.of(new ChangeRefusal(code, detail));
    }
}

package org.basilswitch.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.event.EventCode;
import org.basilswitch.maintenance.WaveHaltPolicy;
import org.basilswitch.maintenance.WaveHostSelector;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;

/**
 * Runs maintenance waves in one pool: starts draining hosts, halts or completes waves, and returns draining hosts to
 * service when their wave is no longer running or the pool has too few active hosts.
 *
 * <p>The transaction that starts a drain compares the wave's record, so that no host is drained after a pause or an
 * abort has been written.
 */
final class WaveRunner {
    private final FleetContext context;
    private final HostLifecycleController lifecycleController;
    private final String pool;
    private final Set<String> updating = new HashSet<>();

    WaveRunner(FleetContext context, HostLifecycleController lifecycleController, String pool) {
        this.context = context;
        this.lifecycleController = lifecycleController;
        this.pool = pool;
    }

    /** Evaluates all running waves and starts at most one drain for each. */
    void run(SiteConfiguration view) {
        for (MaintenanceWave wave : new TreeMap<>(view.waves()).values()) {
            if (wave.phase() == MaintenanceWave.Phase.RUNNING && !haltOrComplete(view, wave)) {
                WaveHostSelector.nextHosts(view, wave, pool).stream()
                        .findFirst()
                        .ifPresent(host -> startDraining(wave, host));
            }
        }
        undrainHosts(view);
    }

    private boolean haltOrComplete(SiteConfiguration view, MaintenanceWave wave) {
        Optional<String> halt = WaveHaltPolicy.haltReason(view, wave);
        if (halt.isPresent()) {
            updatePhase(wave, MaintenanceWave.Phase.HALTED, halt.get(), EventCode.WAVE_HALTED);
            return true;
        }
        List<String> pending = wave.hosts().stream()
                .filter(name -> !wave.done().contains(name) && view.hosts().containsKey(name))
                .toList();
        boolean complete =
                pending.stream().allMatch(name -> view.hosts().get(name).state() == HostState.FAULTY);
        if (complete) {
            String unmaintained = pending.isEmpty() ? "" : "not maintained, faulty: " + String.join(", ", pending);
            updatePhase(wave, MaintenanceWave.Phase.COMPLETED, unmaintained, EventCode.WAVE_COMPLETED);
        }
        return complete;
    }

    private void updatePhase(MaintenanceWave wave, MaintenanceWave.Phase phase, String reason, EventCode event) {
        if (!updating.add(wave.name())) {
            return;
        }
        String key = context.keys().configuration("waves", wave.name());
        context.store().get(key).thenAccept(result -> {
            Optional<PlatformStore.Entry> entry = result.getOrElse(Optional.empty());
            Optional<MaintenanceWave> stored = entry.flatMap(e -> RecordCodec.decode(e.value(), MaintenanceWave.class));
            if (stored.isEmpty() || !stored.get().equals(wave)) {
                updating.remove(wave.name());
                return;
            }
            Transaction transaction = Transaction.builder()
                    .compare(key, entry.get().modRevision())
                    .put(key, RecordCodec.encode(wave.withPhase(phase, reason)))
                    .build();
            context.store().commit(transaction).thenAccept(committed -> {
                updating.remove(wave.name());
                committed.peek(ok -> context.telemetry().event(event, "wave=" + wave.name() + " " + reason));
            });
        });
    }

    private void startDraining(MaintenanceWave wave, Host host) {
        if (lifecycleController.isBusy(host) || updating.contains(wave.name())) {
            return;
        }
        updating.add(wave.name());
        String key = context.keys().configuration("waves", wave.name());
        context.store().get(key).thenAccept(result -> {
            updating.remove(wave.name());
            Optional<PlatformStore.Entry> entry = result.getOrElse(Optional.empty());
            boolean running = entry.flatMap(e -> RecordCodec.decode(e.value(), MaintenanceWave.class))
                    .filter(stored -> stored.phase() == MaintenanceWave.Phase.RUNNING)
                    .isPresent();
            if (running) {
                HostProgress progress = HostProgress.draining(
                        HostProgress.Purpose.WAVE, wave.name(), context.clock().millis());
                lifecycleController.drain(
                        host,
                        progress,
                        builder -> builder.compare(key, entry.get().modRevision()));
            }
        });
    }

    private void undrainHosts(SiteConfiguration view) {
        int minAvailableHosts = Optional.ofNullable(view.pools().get(pool))
                .map(found -> found.minAvailableHosts())
                .orElse(0);
        int missingHosts = minAvailableHosts - PoolHostCounts.of(view, pool).active();
        for (Host host : view.hostsOf(pool)) {
            if (host.state() != HostState.DRAINING || lifecycleController.isBusy(host)) {
                continue;
            }
            Optional<HostProgress> progress =
                    lifecycleController.progressOf(host).filter(p -> p.purpose() == HostProgress.Purpose.WAVE);
            if (progress.isEmpty()) {
                continue;
            }
            boolean stopped = !isRunning(view.waves(), progress.get().target());
            if (stopped || missingHosts > 0) {
                lifecycleController.undrain(host);
                missingHosts--;
            }
        }
    }

    private static boolean isRunning(Map<String, MaintenanceWave> waves, String name) {
        MaintenanceWave wave = waves.get(name);
        return wave != null && wave.phase() == MaintenanceWave.Phase.RUNNING;
    }
}

package org.basilswitch.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.EventCode;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;

/**
 * Drives hosts that are out of service through their state transitions.
 *
 * <p>All progress is kept in the store, so that another controller can continue at any point. A host is drained when
 * its draining state is in force at every entry host and a usage report measured after that shows no running task. A
 * reboot call names the boot that it ends, so that a repeated or delayed call has no effect.
 */
final class HostLifecycleController {
    private final FleetContext context;
    private final LeaderElector leaderElector;
    private final Map<String, TrackedHost> tracked = new HashMap<>();
    private final Set<String> busy = new HashSet<>();
    private final RebootTimes rebootTimes;

    HostLifecycleController(FleetContext context, LeaderElector leaderElector) {
        this.context = context;
        this.leaderElector = leaderElector;
        this.rebootTimes = new RebootTimes(context.options());
    }

    /** Starts the next action for a host unless one is pending. */
    void advance(Host host) {
        if (busy.contains(host.name())) {
            return;
        }
        TrackedHost trackedHost = tracked.get(host.name());
        if (trackedHost == null || trackedHost.hostState != host.state()) {
            load(host);
            return;
        }
        switch (host.state()) {
            case ACTIVE -> tracked.remove(host.name());
            case FAULTY -> advanceFaulty(host, trackedHost);
            case DRAINING -> advanceDraining(host, trackedHost);
            case REBOOTING -> advanceRebooting(host, trackedHost);
            case RETURNING -> advanceReturning(host, trackedHost);
            case DOWN -> advanceDown(host);
        }
    }

    /** Clears the local state after the leadership is lost. */
    void reset() {
        tracked.clear();
        busy.clear();
    }

    /** Returns the progress of a host in its current state; empty until it has been read. */
    Optional<HostProgress> progressOf(Host host) {
        return Optional.ofNullable(tracked.get(host.name()))
                .filter(trackedHost -> trackedHost.hostState == host.state())
                .map(trackedHost -> trackedHost.progress);
    }

    private void load(Host host) {
        busy.add(host.name());
        context.store().get(context.keys().hostProgress(host.name())).thenAccept(progress -> {
            context.store()
                    .get(context.keys().configuration("hosts", host.name()))
                    .thenAccept(record -> {
                        busy.remove(host.name());
                        if (progress.isRight() && record.isRight()) {
                            track(host, progress.get(), record.get());
                        }
                    });
        });
    }

    private void track(Host host, Optional<PlatformStore.Entry> progress, Optional<PlatformStore.Entry> record) {
        Optional<Host> stored = record.flatMap(entry -> RecordCodec.decode(entry.value(), Host.class));
        if (stored.isEmpty() || !stored.get().equals(host)) {
            return;
        }
        HostProgress hostProgress = progress.flatMap(entry -> RecordCodec.decode(entry.value(), HostProgress.class))
                .orElse(HostProgress.operator());
        tracked.put(
                host.name(),
                new TrackedHost(host.state(), hostProgress, record.get().modRevision()));
    }

    private void advanceDraining(Host host, TrackedHost trackedHost) {
        if (trackedHost.inForceAt.isEmpty()) {
            if (context.gate().isInForce(trackedHost.recordRevision)) {
                trackedHost.inForceAt = Optional.of(context.clock().instant());
                trackedHost.inForceNanos = context.clock().monotonicNanos();
            }
            return;
        }
        if (trackedHost.progress.purpose() == HostProgress.Purpose.OPERATOR) {
            return;
        }
        Instant reportValidAfter =
                trackedHost.inForceAt.get().plus(context.options().clockSkew());
        // The host's wall clock may be ahead. A report that is asked for after the bound on its age is newer than the
        // drain.
        boolean asksLateEnough = context.clock().monotonicNanos() - trackedHost.inForceNanos
                >= context.options().maxReportAge().toNanos();
        probe(host, usage -> {
            boolean newer = asksLateEnough && usage.measuredAt().isAfter(reportValidAfter);
            if (newer && usage.runningTasks() == 0) {
                onDrained(host, trackedHost, usage);
            }
        });
    }

    private void onDrained(Host host, TrackedHost trackedHost, WorkerPlatform.HostUsage usage) {
        if (trackedHost.progress.purpose() == HostProgress.Purpose.MOVE) {
            HostChange move = new HostChange.Move(host.name(), trackedHost.progress.target());
            change(move, builder -> updateLoan(builder.delete(progressKey(host)), host), EventCode.HOST_MOVED);
            return;
        }
        HostProgress nextProgress =
                trackedHost.progress.rebooting(usage.bootId(), context.clock().millis());
        change(
                new HostChange.Transition(host.name(), HostState.REBOOTING),
                withProgress(host, nextProgress),
                EventCode.HOST_STEPPED);
    }

    /** Writes the loan record of a host that leaves the spare pool; deletes it when the host leaves another pool. */
    private Transaction.Builder updateLoan(Transaction.Builder builder, Host host) {
        Pool from = context.configuration().get().pools().get(host.pool());
        String loan = context.keys().loan(host.name());
        return from != null && from.spare() ? builder.put(loan, new byte[0]) : builder.delete(loan);
    }

    private void advanceRebooting(Host host, TrackedHost trackedHost) {
        String endedBoot = trackedHost.progress.bootId();
        long sinceMs = context.clock().millis() - trackedHost.progress.startedAtMs();
        if (sinceMs > rebootTimes.faultyAfterMs()) {
            logEvent(EventCode.WAVE_HOST_FAULTY, host, "since_ms=" + sinceMs);
            change(
                    new HostChange.Transition(host.name(), HostState.FAULTY),
                    UnaryOperator.identity(),
                    EventCode.HOST_STEPPED);
            return;
        }
        if (context.clock().monotonicNanos() >= trackedHost.nextRebootNanos) {
            trackedHost.nextRebootNanos = context.clock().monotonicNanos()
                    + context.options().rebootRetryInterval().toNanos();
            context.workers().reboot(host, endedBoot);
        }
        probeAfterReboot(host, trackedHost);
    }

    private void probeAfterReboot(Host host, TrackedHost trackedHost) {
        probe(host, usage -> {
            if (usage.healthy() && !usage.bootId().equals(trackedHost.progress.bootId())) {
                rebootTimes.add(context.clock().millis() - trackedHost.progress.startedAtMs());
                HostChange transition = new HostChange.Transition(host.name(), HostState.RETURNING);
                change(transition, UnaryOperator.identity(), EventCode.HOST_STEPPED);
            }
        });
    }

    /** Probes a faulty host that was rebooting, which may still return; other faulty hosts wait for the operator. */
    private void advanceFaulty(Host host, TrackedHost trackedHost) {
        if (!trackedHost.progress.bootId().isEmpty()) {
            probeAfterReboot(host, trackedHost);
        }
    }

    private void advanceReturning(Host host, TrackedHost trackedHost) {
        probe(host, usage -> {
            trackedHost.healthyProbes = usage.healthy() ? trackedHost.healthyProbes + 1 : 0;
            if (trackedHost.healthyProbes >= context.options().healthyProbes()) {
                activate(host, trackedHost.progress);
            }
        });
    }

    private void activate(Host host, HostProgress progress) {
        HostChange transition = new HostChange.Transition(host.name(), HostState.ACTIVE);
        if (progress.purpose() != HostProgress.Purpose.WAVE) {
            change(transition, builder -> builder.delete(progressKey(host)), EventCode.HOST_STEPPED);
            return;
        }
        busy.add(host.name());
        String waveKey = context.keys().configuration("waves", progress.target());
        context.store().get(waveKey).thenAccept(result -> {
            busy.remove(host.name());
            result.peek(wave -> change(
                    transition,
                    builder -> addDoneHost(builder.delete(progressKey(host)), waveKey, wave, host),
                    EventCode.WAVE_HOST_DONE));
        });
    }

    private static Transaction.Builder addDoneHost(
            Transaction.Builder builder, String waveKey, Optional<PlatformStore.Entry> entry, Host host) {
        Optional<MaintenanceWave> wave = entry.flatMap(e -> RecordCodec.decode(e.value(), MaintenanceWave.class));
        if (wave.isEmpty()) {
            return builder;
        }
        return builder.compare(waveKey, entry.get().modRevision())
                .put(waveKey, RecordCodec.encode(wave.get().withDone(host.name())));
    }

    private void advanceDown(Host host) {
        probe(host, usage -> {
            if (usage.healthy()) {
                HostChange transition = new HostChange.Transition(host.name(), HostState.RETURNING);
                change(transition, UnaryOperator.identity(), EventCode.HOST_STEPPED);
            }
        });
    }

    private void probe(Host host, java.util.function.Consumer<WorkerPlatform.HostUsage> action) {
        busy.add(host.name());
        context.workers().usage(host).thenAccept(result -> {
            busy.remove(host.name());
            result.peek(action);
        });
    }

    /** Starts to drain an active host and stores its progress record. */
    CompletionStage<Either<HostChangeError, Long>> drain(
            Host host, HostProgress progress, UnaryOperator<Transaction.Builder> additions) {
        UnaryOperator<Transaction.Builder> combined =
                builder -> additions.apply(withProgress(host, progress).apply(builder));
        return change(new HostChange.Transition(host.name(), HostState.DRAINING), combined, EventCode.HOST_STEPPED);
    }

    /** Returns a draining host to service. */
    void undrain(Host host) {
        HostChange transition = new HostChange.Transition(host.name(), HostState.ACTIVE);
        change(transition, builder -> builder.delete(progressKey(host)), EventCode.HOST_STEPPED);
    }

    /** Changes the state of an active host to down. */
    void markDown(Host host) {
        HostChange transition = new HostChange.Transition(host.name(), HostState.DOWN);
        change(transition, UnaryOperator.identity(), EventCode.HOST_STEPPED);
    }

    boolean isBusy(Host host) {
        return busy.contains(host.name());
    }

    private UnaryOperator<Transaction.Builder> withProgress(Host host, HostProgress progress) {
        return builder -> builder.put(progressKey(host), RecordCodec.encode(progress));
    }

    private String progressKey(Host host) {
        return context.keys().hostProgress(host.name());
    }

    private CompletionStage<Either<HostChangeError, Long>> change(
            HostChange change, UnaryOperator<Transaction.Builder> additions, EventCode event) {
        busy.add(change.host());
        long fencingToken = leaderElector.fencingToken();
        UnaryOperator<Transaction.Builder> fenced =
                builder -> additions.apply(builder.compare(leaderElector.key(), fencingToken));
        return context.changer().apply(change, fenced).thenApply(result -> {
            busy.remove(change.host());
            tracked.remove(change.host());
            result.peek(revision -> context.telemetry().event(event, change + " revision=" + revision))
                    .peekLeft(error -> context.telemetry().event(EventCode.HOST_CHANGE_FAILED, error.remedy()));
            return result;
        });
    }

    private void logEvent(EventCode event, Host host, String detail) {
        context.telemetry().event(event, "host=" + host.name() + " " + detail);
    }

    private static final class TrackedHost {
        private final HostState hostState;
        private final HostProgress progress;
        private final long recordRevision;
        private Optional<Instant> inForceAt = Optional.empty();
        private long inForceNanos;
        private long nextRebootNanos = Long.MIN_VALUE;
        private int healthyProbes;

        private TrackedHost(HostState hostState, HostProgress progress, long recordRevision) {
            this.hostState = hostState;
            this.progress = progress;
            this.recordRevision = recordRevision;
        }
    }
}

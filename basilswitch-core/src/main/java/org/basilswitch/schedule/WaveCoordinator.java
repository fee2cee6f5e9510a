package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.Transaction;

/**
 * Carries out maintenance waves: drains hosts, has them maintained within the wave's limit of hosts that are down, and
 * reports the state of the wave.
 */
final class WaveCoordinator {
    /** Interval between reads of the waves; short compared with the tens of seconds that a wave is allowed. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(700);
    /**
     * Maximum fraction of a pool's hosts that are drained or unavailable at the same time; at least one host is
     * allowed.
     */
    private static final double MAX_DRAINING_FRACTION = 0.3;
    /** Part of a wave's duration after which the hosts that are left are logged. */
    private static final double BEHIND_AFTER_FRACTION = 0.75;

    private static final Duration BEHIND_LOG_INTERVAL = Duration.ofSeconds(2);
    /** Number of hosts that one log line describes. */
    private static final int MAX_LOGGED_HOSTS = 8;

    private final SchedulerContext context;
    private final HostOperations hostOperations;
    private final ServerDrainer serverDrainer;
    private final Map<Long, Wave> waves = new HashMap<>();
    private long readNanos = Long.MIN_VALUE;
    private boolean reading;

    /** State of one wave. */
    private static final class Wave {
        private WaveStore.WaveRequest request;
        private final long seenNanos;
        private final Set<String> done = new HashSet<>();
        private final Set<String> draining = new HashSet<>();
        private final Set<String> down = new HashSet<>();
        private long behindLoggedNanos;
        private boolean progressRead;
        private boolean writing;
        private boolean dirty;
        private boolean completed;

        private Wave(WaveStore.WaveRequest request, long seenNanos) {
            this.request = request;
            this.seenNanos = seenNanos;
            this.behindLoggedNanos = seenNanos;
            this.completed = request.completed();
            this.dirty = !request.reported();
        }
    }

    /** Stored progress of a wave: the hosts that have been maintained. */
    record WaveProgress(List<String> done) {}

    WaveCoordinator(SchedulerContext context, HostOperations hostOperations, ServerDrainer serverDrainer) {
        this.context = context;
        this.hostOperations = hostOperations;
        this.serverDrainer = serverDrainer;
    }

    /** Returns whether any wave is not completed. */
    boolean hasActiveWave() {
        return waves.values().stream().anyMatch(wave -> !wave.completed);
    }

    /** Returns whether an active wave has yet to maintain a host. */
    boolean isAwaitingMaintenance(String host) {
        return waves.values().stream()
                .anyMatch(wave -> !wave.completed && wave.request.hosts().contains(host) && !wave.done.contains(host));
    }

    /** Advances all waves: reads new requests, drains and maintains hosts, and writes the state. */
    void advance() {
        readWaves();
        for (Wave wave : waves.values()) {
            if (!wave.completed && wave.progressRead && hostOperations.hasHosts()) {
                advance(wave);
            }
            if (wave.dirty && !wave.writing && wave.progressRead) {
                writeState(wave);
            }
        }
    }

    private void readWaves() {
        long nowNanos = context.holderClock().monotonicNanos();
        if (reading || readNanos != Long.MIN_VALUE && nowNanos - readNanos < READ_INTERVAL.toNanos()) {
            return;
        }
        reading = true;
        readNanos = nowNanos;
        Completions.thenAcceptOrLog(
                () -> context.waveStore().readWaves(),
                context.telemetry(),
                "waves",
                result -> {
                    reading = false;
                    result.peek(list -> list.forEach(request -> onRequest(request, nowNanos)));
                },
                () -> reading = false);
    }

    private void onRequest(WaveStore.WaveRequest request, long nowNanos) {
        Wave existing = waves.get(request.number());
        if (existing != null) {
            existing.request = request;
            return;
        }
        Wave wave = new Wave(request, nowNanos);
        waves.put(request.number(), wave);
        if (!wave.completed) {
            context.telemetry()
                    .event(
                            EventCode.WAVE_STARTED,
                            "wave=" + request.number() + " hosts="
                                    + request.hosts().size() + " mostDown="
                                    + request.maxHostsDown() + " durationS="
                                    + request.duration().toSeconds());
            readProgress(wave);
        }
    }

    private void readProgress(Wave wave) {
        String key = context.keys().waveProgress(wave.request.number());
        Completions.thenAcceptOrLog(
                () -> context.store().get(key),
                context.telemetry(),
                "progress of a wave",
                result -> {
                    if (result.isLeft()) {
                        context.timers().schedule(READ_INTERVAL, () -> readProgress(wave));
                        return;
                    }
                    result.get()
                            .flatMap(entry -> RecordCodec.decode(entry.value(), WaveProgress.class))
                            .ifPresent(progress -> wave.done.addAll(progress.done()));
                    wave.progressRead = true;
                },
                () -> context.timers().schedule(READ_INTERVAL, () -> readProgress(wave)));
    }

    private void advance(Wave wave) {
        wave.down.removeIf(host -> !hostOperations.hasPendingCommand(host));
        Set<String> remaining = new HashSet<>();
        for (String host : wave.request.hosts()) {
            if (!wave.done.contains(host) && hostOperations.find(host).isPresent()) {
                remaining.add(host);
            }
        }
        if (remaining.isEmpty() && wave.down.isEmpty()) {
            wave.completed = true;
            wave.dirty = true;
            return;
        }
        wave.draining.retainAll(remaining);
        logIfBehind(wave, remaining);
        for (String host : new ArrayList<>(wave.draining)) {
            if (!hostOperations.hasPendingCommand(host) && serverDrainer.drain(host)) {
                maintain(wave, host);
            }
        }
        int freeSlots = wave.request.maxHostsDown() - hostsDown(wave) - wave.draining.size();
        candidates(wave, remaining).stream().limit(Math.max(0, freeSlots)).forEach(host -> {
            wave.draining.add(host.name());
            hostOperations.startDraining(host.name());
        });
    }

    private void logIfBehind(Wave wave, Set<String> remaining) {
        long nowNanos = context.holderClock().monotonicNanos();
        double behindAfterNanos = wave.request.duration().toNanos() * BEHIND_AFTER_FRACTION;
        if (nowNanos - wave.seenNanos < behindAfterNanos
                || nowNanos - wave.behindLoggedNanos < BEHIND_LOG_INTERVAL.toNanos()) {
            return;
        }
        wave.behindLoggedNanos = nowNanos;
        List<String> hosts = remaining.stream()
                .limit(MAX_LOGGED_HOSTS)
                .map(host -> host + "(" + (wave.draining.contains(host) ? "draining " : "")
                        + serverDrainer.describe(host) + ")")
                .toList();
        context.telemetry()
                .event(
                        EventCode.WAVE_BEHIND,
                        "wave=" + wave.request.number() + " left=" + remaining.size() + " hosts=" + hosts);
    }

    /**
     * Returns the number of the wave's hosts that are down for maintenance, including those commanded by an earlier
     * leader.
     */
    private int hostsDown(Wave wave) {
        Set<String> down = new HashSet<>(wave.down);
        for (String host : wave.request.hosts()) {
            hostOperations
                    .find(host)
                    .filter(platformHost -> platformHost.state() == HostControl.PlatformHostState.MAINTENANCE)
                    .ifPresent(platformHost -> down.add(host));
        }
        return down.size();
    }

    /** Returns the hosts that may be drained next, those that drain soonest first. */
    private List<HostControl.PlatformHost> candidates(Wave wave, Set<String> remaining) {
        Map<String, Integer> up = new HashMap<>();
        Map<String, Integer> unavailable = new HashMap<>();
        for (HostControl.PlatformHost host : hostOperations.all()) {
            boolean isUnavailable = host.state() != HostControl.PlatformHostState.UP
                    || hostOperations.isDraining(host.name())
                    || hostOperations.hasPendingCommand(host.name());
            up.merge(host.pool(), 1, Integer::sum);
            unavailable.merge(host.pool(), isUnavailable ? 1 : 0, Integer::sum);
        }
        List<HostControl.PlatformHost> selected = new ArrayList<>();
        List<HostControl.PlatformHost> byDrainCost = new ArrayList<>();
        remaining.forEach(name -> hostOperations.find(name).ifPresent(byDrainCost::add));
        byDrainCost.sort(Comparator.comparingDouble(serverDrainer::drainCost));
        for (HostControl.PlatformHost host : byDrainCost) {
            boolean free = host.state() == HostControl.PlatformHostState.UP
                    && !hostOperations.isDraining(host.name())
                    && !hostOperations.hasPendingCommand(host.name());
            boolean standby = serverDrainer.isStandbyHost(host);
            int maxUnavailable = (int) Math.max(1, Math.round(MAX_DRAINING_FRACTION * up.get(host.pool())));
            if (free && (standby || unavailable.get(host.pool()) < maxUnavailable)) {
                unavailable.merge(host.pool(), 1, Integer::sum);
                selected.add(host);
            }
        }
        return selected;
    }

    private void maintain(Wave wave, String host) {
        if (!hostOperations.maySendCommands() || hostsDown(wave) >= wave.request.maxHostsDown()) {
            return;
        }
        wave.down.add(host);
        CompletionStage<HostControl.HostCommandResult> call = hostOperations.sendCommand(
                host,
                Optional.empty(),
                () -> context.hostControl().maintain(host, wave.request.number(), hostOperations.fencingToken()),
                "wave=" + wave.request.number());
        Completions.thenAcceptOrLog(call, context.telemetry(), "maintenance of a host", result -> {
            switch (result) {
                case DONE -> markDone(wave, host);
                case NOT_IN_WAVE, INVALID -> {
                    hostOperations.stopDraining(host);
                    wave.done.add(host);
                }
                // The list of hosts shows the result; repeating the command has no further effect.
                case NO_ANSWER, BUSY -> {}
                case FENCED, TOO_MANY -> wave.down.remove(host);
            }
        });
    }

    private void markDone(Wave wave, String host) {
        wave.done.add(host);
        wave.draining.remove(host);
        wave.dirty = true;
    }

    private void writeState(Wave wave) {
        wave.writing = true;
        wave.dirty = false;
        boolean completed = wave.completed;
        Transaction.Builder builder = Transaction.builder()
                .compare(context.keys().schedulerLeadership(), hostOperations.fencingToken())
                .put(
                        context.keys().waveProgress(wave.request.number()),
                        RecordCodec.encode(new WaveProgress(List.copyOf(wave.done))));
        Transaction transaction =
                context.waveStore().writeState(builder, wave.request, completed).build();
        Completions.thenAcceptOrLog(
                () -> context.store().commit(transaction),
                context.telemetry(),
                "state of a wave",
                result -> {
                    wave.writing = false;
                    boolean written = result.isRight() && result.get() instanceof CommitResult.Committed;
                    if (!written) {
                        wave.dirty = true;
                    } else if (completed) {
                        long tookMs = (context.holderClock().monotonicNanos() - wave.seenNanos) / 1_000_000;
                        context.telemetry()
                                .event(EventCode.WAVE_COMPLETED, "wave=" + wave.request.number() + " tookMs=" + tookMs);
                    }
                },
                () -> {
                    wave.writing = false;
                    wave.dirty = true;
                });
    }
}

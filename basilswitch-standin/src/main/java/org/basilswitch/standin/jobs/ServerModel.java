package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.basilswitch.job.ItemId;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;
import org.basilswitch.schedule.BackendServer;
import org.basilswitch.schedule.ServerCommands;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** One lifetime of a backend server: its runs, their lease, its ends and the highest fencing number it has seen. */
public final class ServerModel {
    private static final Duration STOP_TIME = Duration.ofMillis(50);

    private final BackendServer entry;
    private final FleetModel fleet;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long startedAtNanos;
    private final Map<ItemId, Running> running = new LinkedHashMap<>();
    private final Map<ItemId, Integer> highestEnded = new HashMap<>();
    private final List<ServerCommands.RunEnd> ends = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long highestFencingToken;
    private long nextEnd = 1;
    private long leaseEndMs;
    private boolean dead;

    private static final class Running {
        private final int run;
        private final StepSpec spec;
        private final long startedNanos;
        private final Duration work;
        private boolean stopping;

        private Running(int run, StepSpec spec, long startedNanos, Duration work) {
            this.run = run;
            this.spec = spec;
            this.startedNanos = startedNanos;
            this.work = work;
        }

        private int percent(long nowNanos) {
            if (spec.longRunning()) {
                return 100;
            }
            return (int) Math.min(99, (nowNanos - startedNanos) * 100 / Math.max(1, work.toNanos()));
        }
    }

    ServerModel(BackendServer entry, FleetModel fleet, Clock clock, Scheduler scheduler) {
        this.entry = entry;
        this.fleet = fleet;
        this.clock = clock;
        this.scheduler = scheduler;
        this.startedAtNanos = clock.monotonicNanos();
    }

    /** Its entry in the list of live servers. */
    public BackendServer entry() {
        return entry;
    }

    long clockMs() {
        return Duration.ofNanos(clock.monotonicNanos() - startedAtNanos).toMillis();
    }

    /** Whether a run of a work item is at work. */
    public boolean runsItem(ItemId item) {
        return running.containsKey(item);
    }

    /** Number of runs at work. */
    public int runs() {
        return running.size();
    }

    /** Ends everything at once, as a crash does. */
    void crash() {
        dead = true;
        new ArrayList<>(running.keySet()).forEach(item -> {
            fleet.invariants().gone(item, running.get(item).run, entry.id());
            running.remove(item);
        });
        wakeAll();
    }

    private Resources used() {
        return running.values().stream().map(r -> r.spec.reserved()).reduce(Resources.NONE, Resources::plus);
    }

    ServerCommands.CommandResult start(long fence, ServerCommands.StartCommand order) {
        Optional<ServerCommands.CommandResult> refused = refusal(fence);
        if (refused.isPresent()) {
            return refused.get();
        }
        Running known = running.get(order.item());
        if (known != null && known.run == order.run()) {
            return new ServerCommands.Done();
        }
        if (order.run() <= highestEnded.getOrDefault(order.item(), 0)) {
            return new ServerCommands.Rejected(ServerCommands.Reason.OLD_RUN);
        }
        if (order.leaseEndMs() <= clockMs()) {
            return new ServerCommands.Rejected(ServerCommands.Reason.LEASE_PASSED);
        }
        Optional<StepSpec> spec = fleet.step(order.item());
        if (spec.isEmpty()) {
            fleet.invariants().unasked(order.item());
            return new ServerCommands.Rejected(ServerCommands.Reason.INVALID);
        }
        extend(order.leaseEndMs());
        if (!used().plus(spec.get().reserved()).fitsInto(entry.capacity())) {
            return new ServerCommands.Rejected(ServerCommands.Reason.NO_ROOM);
        }
        Duration work = spec.get().longRunning() ? Duration.ZERO : fleet.workTime(order.item(), entry);
        running.put(order.item(), new Running(order.run(), spec.get(), clock.monotonicNanos(), work));
        fleet.invariants().started(order.item(), order.run(), entry);
        if (!spec.get().longRunning()) {
            scheduler.schedule(work, () -> {
                boolean failed = fleet.fails(order.item(), order.run(), entry);
                end(
                        order.item(),
                        order.run(),
                        failed ? ServerCommands.RunEndKind.FAILED : ServerCommands.RunEndKind.DONE);
            });
        }
        return new ServerCommands.Done();
    }

    ServerCommands.CommandResult stop(long fence, ItemId item, int run) {
        Optional<ServerCommands.CommandResult> refused = refusal(fence);
        if (refused.isPresent()) {
            return refused.get();
        }
        highestEnded.merge(item, run, Math::max);
        Running known = running.get(item);
        if (known != null && known.run == run && !known.stopping) {
            known.stopping = true;
            scheduler.schedule(STOP_TIME, () -> end(item, run, ServerCommands.RunEndKind.STOPPED));
        }
        return new ServerCommands.Done();
    }

    private Optional<ServerCommands.CommandResult> refusal(long fence) {
        if (fence < highestFencingToken) {
            return Optional.of(new ServerCommands.Rejected(ServerCommands.Reason.FENCED));
        }
        highestFencingToken = fence;
        return Optional.empty();
    }

    private void extend(long untilMs) {
        if (untilMs > leaseEndMs) {
            leaseEndMs = untilMs;
            long left = leaseEndMs - clockMs();
            scheduler.schedule(Duration.ofMillis(left + 1), this::lapse);
        }
    }

    private void lapse() {
        if (clockMs() >= leaseEndMs) {
            // An end that nobody has taken note of before the lease lapsed does not count.
            ends.stream()
                    .filter(end -> end.kind() == ServerCommands.RunEndKind.DONE)
                    .forEach(end -> fleet.invariants().lapsedUnseen(end.item()));
            new ArrayList<>(running.entrySet())
                    .forEach(
                            entryOf -> end(entryOf.getKey(), entryOf.getValue().run, ServerCommands.RunEndKind.LAPSED));
        }
    }

    private void end(ItemId item, int run, ServerCommands.RunEndKind kind) {
        Running known = running.get(item);
        if (dead || known == null || known.run != run) {
            return;
        }
        running.remove(item);
        highestEnded.merge(item, run, Math::max);
        ends.add(new ServerCommands.RunEnd(nextEnd++, item, run, kind, ""));
        fleet.invariants().ended(item, run, entry, kind);
        wakeAll();
    }

    private void wakeAll() {
        List<Runnable> woken = new ArrayList<>(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    /** Handles a hold and passes its answer on, at the latest after the wait that the order allows. */
    void hold(
            long fence,
            ServerCommands.LeaseRenewal order,
            java.util.function.Consumer<ServerCommands.RenewalResult> answer) {
        if (fence < highestFencingToken) {
            answer.accept(new ServerCommands.RenewalRejected(ServerCommands.Reason.FENCED));
            return;
        }
        highestFencingToken = fence;
        order.leaseEndMs().ifPresent(this::extend);
        ends.stream()
                .filter(end ->
                        end.number() <= order.acknowledgedEndNumber() && end.kind() == ServerCommands.RunEndKind.DONE)
                .forEach(end -> fleet.invariants().acknowledged(end.item()));
        ends.removeIf(end -> end.number() <= order.acknowledgedEndNumber());
        if (!ends.isEmpty() || order.maxWait().isZero()) {
            answer.accept(report());
            return;
        }
        boolean[] answered = {false};
        Runnable once = () -> {
            if (!answered[0]) {
                answered[0] = true;
                answer.accept(report());
            }
        };
        waiting.add(once);
        scheduler.schedule(order.maxWait(), () -> {
            waiting.remove(once);
            once.run();
        });
    }

    private ServerCommands.RenewalResult report() {
        List<ServerCommands.RunStatus> rows = new ArrayList<>();
        running.forEach((item, r) ->
                rows.add(new ServerCommands.RunStatus(item, r.run, "", r.percent(clock.monotonicNanos()), 0)));
        return new ServerCommands.Report(entry.startedAtMs(), clockMs(), rows, List.copyOf(ends));
    }
}

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

/**
 * One incarnation of a simulated backend server: its active runs, their common lease, the ends that the scheduler has
 * not acknowledged yet and the highest fencing token seen.
 */
public final class ServerModel {
    /** Time from the start of a long-running work item until it is at work. */
    private static final Duration STARTUP = Duration.ofMillis(900);

    private static final Duration STOP_DELAY = Duration.ofMillis(50);
    /** Longest lease; a later lease end, as one named on the clock of an earlier incarnation, is limited to it. */
    private static final Duration MAX_LEASE = Duration.ofSeconds(10);

    private final BackendServer entry;
    private final FleetModel fleet;
    private final Clock clock;
    private final Scheduler scheduler;
    private final long startedAtNanos;
    private final Map<ItemId, ActiveRun> activeRuns = new LinkedHashMap<>();
    private final Map<ItemId, Integer> highestEndedRuns = new HashMap<>();
    private final List<ServerCommands.RunEnd> unacknowledgedEnds = new ArrayList<>();
    private final List<Runnable> waitingRenewals = new ArrayList<>();
    private long highestFencingToken;
    private long nextEndNumber = 1;
    private long leaseEndMs;
    private boolean crashed;

    private static final class ActiveRun {
        private final int runNumber;
        private final StepSpec spec;
        private final long startedNanos;
        private final Duration work;
        private String checkpoint;
        private int pacePercent = 100;
        private boolean stopping;

        private ActiveRun(int runNumber, StepSpec spec, long startedNanos, Duration work, String checkpoint) {
            this.runNumber = runNumber;
            this.spec = spec;
            this.startedNanos = startedNanos;
            this.work = work;
            this.checkpoint = checkpoint;
        }

        private int percent(long nowNanos) {
            long durationNanos = spec.longRunning() ? STARTUP.toNanos() : work.toNanos();
            int limit = spec.longRunning() ? 100 : 99;
            return (int) Math.min(limit, (nowNanos - startedNanos) * 100 / Math.max(1, durationNanos));
        }
    }

    ServerModel(BackendServer entry, FleetModel fleet, Clock clock, Scheduler scheduler) {
        this.entry = entry;
        this.fleet = fleet;
        this.clock = clock;
        this.scheduler = scheduler;
        this.startedAtNanos = clock.monotonicNanos();
    }

    /** Returns the server's entry in the server registry. */
    public BackendServer entry() {
        return entry;
    }

    long clockMs() {
        return Duration.ofNanos(clock.monotonicNanos() - startedAtNanos).toMillis();
    }

    /** Returns whether a run of the work item is active. */
    public boolean isRunning(ItemId item) {
        return activeRuns.containsKey(item);
    }

    /** Returns the number of active runs. */
    public int activeRunCount() {
        return activeRuns.size();
    }

    /** Ends all runs because a command takes the host down. */
    void takeDown() {
        new ArrayList<>(activeRuns.keySet()).forEach(item -> fleet.invariants().commandEnds(item, entry.id()));
        crash();
    }

    /** Ends all runs immediately without reporting them, as a crash does. */
    void crash() {
        crashed = true;
        unacknowledgedEnds.stream()
                .filter(end -> end.kind() == ServerCommands.RunEndKind.DONE)
                .forEach(end -> fleet.invariants().endForgottenByCrash(end.item()));
        new ArrayList<>(activeRuns.keySet()).forEach(item -> {
            fleet.invariants().removeRun(item, activeRuns.get(item).runNumber, entry.id());
            activeRuns.remove(item);
        });
        answerWaitingRenewals();
    }

    /** Returns what the active runs use of their team's limit. */
    Resources teamResources() {
        return activeRuns.values().stream().map(run -> run.spec.resources()).reduce(Resources.NONE, Resources::plus);
    }

    private Resources usedResources() {
        return activeRuns.values().stream().map(run -> run.spec.reserved()).reduce(Resources.NONE, Resources::plus);
    }

    ServerCommands.CommandResult start(long fencingToken, ServerCommands.StartCommand command) {
        Optional<ServerCommands.CommandResult> rejection = checkFencingToken(fencingToken);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        ActiveRun active = activeRuns.get(command.item());
        if (active != null && active.runNumber == command.run()) {
            return new ServerCommands.Done();
        }
        if (command.run() <= highestEndedRuns.getOrDefault(command.item(), 0)) {
            return new ServerCommands.Rejected(ServerCommands.Reason.OLD_RUN);
        }
        if (command.leaseEndMs() <= clockMs()) {
            return new ServerCommands.Rejected(ServerCommands.Reason.LEASE_PASSED);
        }
        Optional<StepSpec> spec = fleet.step(command.item());
        if (spec.isEmpty()) {
            fleet.invariants().unknownItemStarted(command.item());
            return new ServerCommands.Rejected(ServerCommands.Reason.INVALID);
        }
        if (!fleet.acceptsTicket(command.item(), command.ticket(), entry)) {
            return new ServerCommands.Rejected(ServerCommands.Reason.NO_TICKET);
        }
        extendLease(command.leaseEndMs());
        if (!usedResources().plus(spec.get().reserved()).fitsInto(entry.capacity())) {
            return new ServerCommands.Rejected(ServerCommands.Reason.NO_ROOM);
        }
        Duration work = spec.get().longRunning() ? Duration.ZERO : fleet.workTime(command.item(), entry);
        activeRuns.put(
                command.item(),
                new ActiveRun(command.run(), spec.get(), clock.monotonicNanos(), work, command.checkpoint()));
        fleet.invariants().runStarted(command.item(), command.run(), command.checkpoint(), entry);
        if (spec.get().longRunning()) {
            scheduler.schedule(STARTUP, () -> reportAtWork(command.item(), command.run()));
        }
        if (!spec.get().longRunning()) {
            scheduler.schedule(work, () -> {
                boolean failed = fleet.fails(command.item(), command.run(), entry);
                endRun(
                        command.item(),
                        command.run(),
                        failed ? ServerCommands.RunEndKind.FAILED : ServerCommands.RunEndKind.DONE);
            });
        }
        return new ServerCommands.Done();
    }

    private void reportAtWork(ItemId item, int run) {
        ActiveRun active = activeRuns.get(item);
        if (!crashed && active != null && active.runNumber == run) {
            fleet.invariants().atWork(item);
        }
    }

    ServerCommands.CommandResult stop(long fencingToken, ItemId item, int run) {
        Optional<ServerCommands.CommandResult> rejection = checkFencingToken(fencingToken);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        highestEndedRuns.merge(item, run, Math::max);
        ActiveRun active = activeRuns.get(item);
        if (active != null && active.runNumber == run && !active.stopping) {
            active.stopping = true;
            scheduler.schedule(STOP_DELAY, () -> {
                if (!crashed && activeRuns.get(item) == active) {
                    fleet.invariants().commandEnds(item, entry.id());
                }
                endRun(item, run, ServerCommands.RunEndKind.STOPPED);
            });
        }
        return new ServerCommands.Done();
    }

    private Optional<ServerCommands.CommandResult> checkFencingToken(long fencingToken) {
        if (fencingToken < highestFencingToken) {
            return Optional.of(new ServerCommands.Rejected(ServerCommands.Reason.FENCED));
        }
        highestFencingToken = fencingToken;
        return Optional.empty();
    }

    private void extendLease(long untilMs) {
        long limitedMs = Math.min(untilMs, clockMs() + MAX_LEASE.toMillis());
        if (limitedMs > leaseEndMs) {
            leaseEndMs = limitedMs;
            long remainingMs = leaseEndMs - clockMs();
            scheduler.schedule(Duration.ofMillis(remainingMs + 1), this::endRunsIfLeaseLapsed);
        }
    }

    private void endRunsIfLeaseLapsed() {
        if (clockMs() >= leaseEndMs) {
            // The scheduler may rerun an item whose completion was not acknowledged before the lease expired.
            unacknowledgedEnds.stream()
                    .filter(end -> end.kind() == ServerCommands.RunEndKind.DONE)
                    .forEach(end -> fleet.invariants().leaseLapsedBeforeAcknowledgement(end.item()));
            new ArrayList<>(activeRuns.entrySet())
                    .forEach(itemRun ->
                            endRun(itemRun.getKey(), itemRun.getValue().runNumber, ServerCommands.RunEndKind.LAPSED));
        }
    }

    ServerCommands.CommandResult setPace(long fencingToken, ItemId item, int run, int percent) {
        Optional<ServerCommands.CommandResult> rejection = checkFencingToken(fencingToken);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        Optional.ofNullable(activeRuns.get(item))
                .filter(active -> active.runNumber == run)
                .ifPresent(active -> active.pacePercent = percent);
        return new ServerCommands.Done();
    }

    /** Returns the pace of the active run of a work item, as a percentage of full speed. */
    public int pacePercent(ItemId item) {
        return activeRuns.get(item).pacePercent;
    }

    /** Returns the checkpoint that the active run of a work item was started with, or has reported since. */
    public String checkpoint(ItemId item) {
        return activeRuns.get(item).checkpoint;
    }

    /** Has the active run of a work item report a checkpoint from now on. */
    public void saveCheckpoint(ItemId item, String checkpoint) {
        activeRuns.get(item).checkpoint = checkpoint;
    }

    /** Ends the active run of a work item by itself. */
    public void endRun(ItemId item, ServerCommands.RunEndKind kind) {
        Optional.ofNullable(activeRuns.get(item)).ifPresent(active -> endRun(item, active.runNumber, kind));
    }

    private void endRun(ItemId item, int run, ServerCommands.RunEndKind kind) {
        ActiveRun active = activeRuns.get(item);
        if (crashed || active == null || active.runNumber != run) {
            return;
        }
        activeRuns.remove(item);
        highestEndedRuns.merge(item, run, Math::max);
        unacknowledgedEnds.add(new ServerCommands.RunEnd(nextEndNumber++, item, run, kind, active.checkpoint));
        fleet.invariants().runEnded(item, run, entry, kind);
        answerWaitingRenewals();
    }

    private void answerWaitingRenewals() {
        List<Runnable> renewals = new ArrayList<>(waitingRenewals);
        waitingRenewals.clear();
        renewals.forEach(Runnable::run);
    }

    /** Renews the lease and passes the report to the callback once a run has ended or the maximum wait has passed. */
    void renewLease(
            long fencingToken,
            ServerCommands.LeaseRenewal renewal,
            java.util.function.Consumer<ServerCommands.RenewalResult> callback) {
        if (fencingToken < highestFencingToken) {
            callback.accept(new ServerCommands.RenewalRejected(ServerCommands.Reason.FENCED));
            return;
        }
        highestFencingToken = fencingToken;
        renewal.leaseEndMs().ifPresent(this::extendLease);
        unacknowledgedEnds.stream()
                .filter(end ->
                        end.number() <= renewal.acknowledgedEndNumber() && end.kind() == ServerCommands.RunEndKind.DONE)
                .forEach(end -> fleet.invariants().endAcknowledged(end.item()));
        unacknowledgedEnds.removeIf(end -> end.number() <= renewal.acknowledgedEndNumber());
        if (!unacknowledgedEnds.isEmpty() || renewal.maxWait().isZero()) {
            callback.accept(report());
            return;
        }
        boolean[] answered = {false};
        Runnable answerOnce = () -> {
            if (!answered[0]) {
                answered[0] = true;
                callback.accept(crashed ? new ServerCommands.RenewalUnanswered("connection reset") : report());
            }
        };
        waitingRenewals.add(answerOnce);
        scheduler.schedule(renewal.maxWait(), () -> {
            waitingRenewals.remove(answerOnce);
            answerOnce.run();
        });
    }

    private ServerCommands.RenewalResult report() {
        List<ServerCommands.RunStatus> statuses = new ArrayList<>();
        activeRuns.forEach((item, run) -> statuses.add(new ServerCommands.RunStatus(
                item, run.runNumber, run.checkpoint, run.percent(clock.monotonicNanos()), 0)));
        return new ServerCommands.Report(
                entry.startedAtMs(), clockMs(), statuses, List.copyOf(unacknowledgedEnds), true);
    }
}

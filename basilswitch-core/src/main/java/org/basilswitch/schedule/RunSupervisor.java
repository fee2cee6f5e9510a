package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;

/**
 * Follows the runs of work items on backend servers: orders starts and stops, reads reports, and tells when a run can
 * no longer be at work.
 */
final class RunSupervisor {
    /** Time between two tries of a stop; a server takes up to 200 ms to stop a run. */
    private static final Duration STOP_RETRY = Duration.ofMillis(200);
    /** A server that refused for want of room shows its runs in its next report. */
    private static final Duration NO_ROOM_PAUSE = Duration.ofMillis(150);

    /** An unhealthy or unreachable server is tried again with the next list of servers but one. */
    private static final Duration UNHEALTHY_PAUSE = Duration.ofMillis(1000);
    /** Long enough for a failed work item to be done elsewhere. */
    private static final Duration FAILING_PAUSE = Duration.ofMillis(4000);
    /** The longest pause of a server that goes on failing all it is tried with. */
    private static final Duration LONGEST_FAILING_PAUSE = Duration.ofMillis(16_000);
    /** Jobs whose work items failed on a server in a row after which it is avoided for some time. */
    private static final int FAILED_JOBS_TO_AVOID = 2;
    /** Servers on which a work item has failed after which the failures are its own. */
    private static final int SERVERS_TO_BLAME_ITEM = 2;

    /** Pace of a run after an order without an answer; any new pace differs from it. */
    private static final int UNKNOWN_PACE = 99;

    private final SchedulerContext context;
    private final long fencingToken;
    private final RunRegistry runRegistry;
    private final Owner owner;
    private final Map<BackendServer.Incarnation, LeaseRenewer> leaseRenewers = new HashMap<>();
    private final PaceController pace = new PaceController();
    private boolean closed;

    /** The scheduler that the runs belong to. */
    interface Owner {
        /** The job of this identifier, if it is not ended. */
        Optional<ActiveJob> job(String id);

        /** Failed runs after which a job has failed; 0 for no bound. */
        int maxAttempts(WorkItem item);

        /** A run has ended well after some time, ms. */
        void ranToEnd(WorkItem item, double tookMs);

        /** A server has reported what it runs. */
        void reported(TrackedServer server);

        /** The advice service's ticket for a run, where its queue needs one. */
        Optional<String> ticket(Run run);

        /** Whether the duty is held now. */
        boolean isLeader();

        /** Whether orders may be sent now. */
        boolean mayOrder();

        /** Something has changed that placement depends on. */
        void changed();

        /** Another entry host holds the duty. */
        void leadershipLost(String reason);
    }

    RunSupervisor(SchedulerContext context, long fence, RunRegistry book, Owner owner) {
        this.context = context;
        this.fencingToken = fence;
        this.runRegistry = book;
        this.owner = owner;
    }

    void close() {
        closed = true;
        leaseRenewers.values().forEach(LeaseRenewer::close);
    }

    /** Takes over the list of live servers. */
    void onServers(Map<BackendServer.Incarnation, BackendServer> live) {
        Map<String, BackendServer.Incarnation> lifetimeOf = new HashMap<>();
        live.forEach((lifetime, server) -> {
            lifetimeOf.put(lifetime.serverId(), lifetime);
            TrackedServer state = runRegistry.serverOrUnlisted(lifetime);
            runRegistry.list(state, Optional.of(server));
            if (!leaseRenewers.containsKey(lifetime) && !state.over()) {
                LeaseRenewer loop = new LeaseRenewer(
                        state,
                        server,
                        context.serverCommands(),
                        context.telemetry(),
                        context.clock(),
                        context.timers(),
                        fencingToken,
                        context.options().lease(),
                        owner::isLeader,
                        this::onHold);
                leaseRenewers.put(lifetime, loop);
                loop.wake();
            }
        });
        for (TrackedServer state : new ArrayList<>(runRegistry.servers())) {
            if (!live.containsKey(state.incarnation())) {
                runRegistry.list(state, Optional.empty());
                BackendServer.Incarnation next =
                        lifetimeOf.get(state.incarnation().serverId());
                if (next != null) {
                    endIncarnation(state, Optional.of(next), "server started again");
                }
            }
        }
        sweep();
    }

    /** Ends the runs whose leases have surely lapsed and forgets servers that have left. */
    void sweep() {
        long nowNanos = context.clock().monotonicNanos();
        for (TrackedServer state : new ArrayList<>(runRegistry.servers())) {
            boolean silent = !state.answeredWithin(context.options().lease(), nowNanos);
            if (silent && nowNanos > state.lapseNanos()) {
                for (Run run : state.runs()) {
                    if (run.phase() != Run.Phase.RECORDING) {
                        lose(run, "lease lapsed");
                    }
                }
                if (state.view().isEmpty() && state.runs().isEmpty()) {
                    remove(state);
                }
            }
        }
    }

    private void remove(TrackedServer state) {
        runRegistry.forget(state);
        Optional.ofNullable(leaseRenewers.remove(state.incarnation())).ifPresent(LeaseRenewer::close);
    }

    /** Records a run to be ordered once its record is stored. */
    void begin(WorkItem item, TrackedServer server, int number) {
        Run run = item.begin(number, server.incarnation(), Run.Phase.RECORDING);
        run.setRack(server.view().flatMap(BackendServer::rack));
        runRegistry.add(run);
        item.job().afterCommit(() -> order(run));
    }

    private void order(Run run) {
        if (closed || run.item().run().filter(run::equals).isEmpty()) {
            return;
        }
        TrackedServer state = runRegistry.serverOrUnlisted(run.incarnation());
        long nowNanos = context.clock().monotonicNanos();
        Optional<Long> leaseEnd = state.leaseEnd(context.options().lease(), nowNanos);
        boolean listed = state.view().filter(server -> !server.draining()).isPresent();
        if (!owner.mayOrder() || !run.item().job().isOpen() || !listed || state.over() || leaseEnd.isEmpty()) {
            lose(run, "conditions changed before the start");
            return;
        }
        run.setPhase(Run.Phase.ORDERED);
        run.setStarted(nowNanos, leaseEnd.get() - context.options().lease().toMillis());
        context.telemetry().count(CounterCode.RUNS_STARTED, state.view().get().pool());
        run.item().job().countOrder(context.clock().millis());
        context.telemetry().event(EventCode.RUN_ORDERED, "run=" + run + " leaseEndMs=" + leaseEnd.get());
        ServerCommands.StartCommand order = new ServerCommands.StartCommand(
                run.id(),
                run.number(),
                run.item().job().submission().spec(),
                leaseEnd.get(),
                run.item().checkpoint(),
                owner.ticket(run));
        Completions.then(
                context.serverCommands().start(state.view().get(), fencingToken, order),
                context.telemetry(),
                "start",
                result -> onStarted(run, state, result));
    }

    private void onStarted(Run run, TrackedServer state, ServerCommands.CommandResult result) {
        if (closed) {
            return;
        }
        long nowNanos = context.clock().monotonicNanos();
        switch (result) {
            case ServerCommands.Done done -> {
                run.settle(nowNanos);
                if (run.phase() == Run.Phase.ORDERED) {
                    run.setPhase(Run.Phase.RUNNING);
                }
                wake(state);
                if (!run.item().job().isOpen()) {
                    stop(run);
                }
            }
            case ServerCommands.Rejected rejected -> onRejected(run, state, rejected.reason(), nowNanos);
            case ServerCommands.NoAnswer lost -> {
                if (run.phase() == Run.Phase.ORDERED) {
                    context.telemetry().event(EventCode.RUN_DOUBTFUL, "run=" + run + " " + lost.detail());
                    lookFor(run, state);
                }
            }
        }
    }

    /**
     * Asks the server at once what runs there. A report from after the doubt settles it: a run that is listed goes on,
     * another one may still arrive and is barred. While there is no report the run is left alone, as it may be at work.
     */
    private void lookFor(Run run, TrackedServer state) {
        long sentNanos = context.clock().monotonicNanos();
        run.doubt(sentNanos);
        state.view().ifPresent(server -> {
            ServerCommands.LeaseRenewal look =
                    new ServerCommands.LeaseRenewal(Optional.empty(), state.storedEnd(), Duration.ZERO);
            Completions.then(
                    context.serverCommands().renewLease(server, fencingToken, look),
                    context.telemetry(),
                    "look",
                    result -> onHold(state, sentNanos, result));
        });
    }

    private void onRejected(Run run, TrackedServer state, ServerCommands.Reason reason, long nowNanos) {
        context.telemetry().event(EventCode.RUN_REJECTED, "run=" + run + " reason=" + reason);
        switch (reason) {
            case FENCED -> owner.leadershipLost("a backend server has seen a higher fencing number");
            case OTHER_LIFETIME -> endIncarnation(state, Optional.empty(), "another server answers");
            case NO_ROOM -> state.avoidUntil(nowNanos + NO_ROOM_PAUSE.toNanos());
            case UNHEALTHY, UNREACHABLE, INVALID, NO_TICKET -> state.avoidUntil(nowNanos + UNHEALTHY_PAUSE.toNanos());
            case OLD_RUN, LEASE_PASSED -> state.avoidUntil(nowNanos + NO_ROOM_PAUSE.toNanos());
        }
        lose(run, "start rejected: " + reason);
        if (run.item().spec().gang()) {
            run.item().job().stepOf(run.id()).forEach(member -> member.run().ifPresent(this::stop));
        }
        wake(state);
    }

    /** Stops a run, or bars it when it may still arrive. */
    void stop(Run run) {
        if (run.phase() == Run.Phase.RECORDING || run.stopping()) {
            return;
        }
        run.setStopping();
        sendStop(run);
    }

    private void sendStop(Run run) {
        Optional<TrackedServer> state = runRegistry.server(run.incarnation());
        if (closed || state.isEmpty() || state.get().run(run.id(), run.number()).isEmpty()) {
            return;
        }
        Optional<BackendServer> server = state.get().view();
        if (server.isEmpty()) {
            context.timers().schedule(STOP_RETRY, () -> sendStop(run));
            return;
        }
        CompletionStage<ServerCommands.CommandResult> stop =
                context.serverCommands().stop(server.get(), fencingToken, run.id(), run.number());
        Completions.then(stop, context.telemetry(), "stop", result -> {
            if (closed) {
                return;
            }
            switch (result) {
                case ServerCommands.Done done -> settleStop(run, state.get());
                case ServerCommands.NoAnswer lost -> context.timers().schedule(STOP_RETRY, () -> sendStop(run));
                case ServerCommands.Rejected rejected -> {
                    switch (rejected.reason()) {
                        case OTHER_LIFETIME -> endIncarnation(state.get(), Optional.empty(), "another server answers");
                        case FENCED -> owner.leadershipLost("a backend server has seen a higher fencing number");
                        case OLD_RUN -> settleStop(run, state.get());
                        default -> context.timers().schedule(STOP_RETRY, () -> sendStop(run));
                    }
                }
            }
        });
    }

    private void settleStop(Run run, TrackedServer state) {
        run.settle(context.clock().monotonicNanos());
        wake(state);
    }

    private void wake(TrackedServer state) {
        Optional.ofNullable(leaseRenewers.get(state.incarnation())).ifPresent(LeaseRenewer::wake);
    }

    /** Ends a run that can no longer be at work and has no end to its credit. */
    private void lose(Run run, String reason) {
        runRegistry.remove(run);
        WorkItem item = run.item();
        if (item.run().filter(run::equals).isPresent()) {
            item.endRun(false);
            item.job().countLostRun();
            item.job().markDirty();
            context.telemetry().event(EventCode.RUN_LOST, "run=" + run + " " + reason);
        }
        item.endCopy(run);
        owner.changed();
    }

    /**
     * Ends all runs of a lifetime that is over.
     *
     * @param next the lifetime that goes on under the same identifier, if any
     */
    private void endIncarnation(TrackedServer state, Optional<BackendServer.Incarnation> next, String reason) {
        if (state.over()) {
            return;
        }
        state.setOver();
        context.telemetry()
                .event(
                        EventCode.SERVER_LIFETIME_ENDED,
                        "server=" + state.incarnation().serverId() + " " + reason);
        for (Run run : state.runs()) {
            if (next.isPresent() && mayStillArrive(run)) {
                blockOnNextIncarnation(run, next.get());
            } else {
                lose(run, reason);
            }
        }
        if (state.view().isEmpty()) {
            remove(state);
        }
    }

    /** Whether an order to start this run may be carried out from now on. */
    private static boolean mayStillArrive(Run run) {
        return switch (run.phase()) {
            case ORDERED, DOUBTFUL, INHERITED -> true;
            case RECORDING, RUNNING -> false;
        };
    }

    /**
     * Moves a run whose start may be delayed to the next lifetime of its server. The next lifetime has the same
     * identifier, has seen no fencing number and counts its clock anew, so that it would carry the start out.
     */
    private void blockOnNextIncarnation(Run run, BackendServer.Incarnation next) {
        runRegistry.remove(run);
        if (run.item().run().filter(run::equals).isEmpty()) {
            return;
        }
        Run.Phase phase = run.phase() == Run.Phase.INHERITED ? Run.Phase.INHERITED : Run.Phase.DOUBTFUL;
        Run moved = run.item().begin(run.number(), next, phase);
        runRegistry.add(moved);
        runRegistry.serverOrUnlisted(next).expectLapse(context.clock().monotonicNanos() + leaseNanos());
        run.item().job().markDirty();
        if (phase == Run.Phase.DOUBTFUL) {
            stop(moved);
        }
        owner.changed();
    }

    /** The longest time for which a lease given now lasts on a server whose clock is slow. */
    private long leaseNanos() {
        return (long) (context.options().lease().toNanos() / TrackedServer.SLOWEST_CLOCK);
    }

    private void onHold(TrackedServer state, long sentNanos, ServerCommands.RenewalResult result) {
        if (closed) {
            return;
        }
        switch (result) {
            case ServerCommands.Report report -> onReport(state, sentNanos, report);
            case ServerCommands.RenewalRejected rejected -> {
                if (rejected.reason() == ServerCommands.Reason.FENCED) {
                    owner.leadershipLost("a backend server has seen a higher fencing number");
                } else if (rejected.reason() == ServerCommands.Reason.OTHER_LIFETIME) {
                    endIncarnation(state, Optional.empty(), "another server answers");
                }
            }
            case ServerCommands.RenewalUnanswered lost -> {
                context.telemetry().count(CounterCode.HOLDS_LOST, "");
                sweep();
            }
        }
    }

    private void onReport(TrackedServer state, long sentNanos, ServerCommands.Report report) {
        if (report.startedAtMs() != state.incarnation().startedAtMs()) {
            BackendServer.Incarnation next =
                    new BackendServer.Incarnation(state.incarnation().serverId(), report.startedAtMs());
            endIncarnation(state, Optional.of(next), "report of a lifetime born at " + report.startedAtMs());
            return;
        }
        long nowNanos = context.clock().monotonicNanos();
        boolean news = !state.answeredWithin(TrackedServer.ANSWER_AGE, nowNanos);
        state.readClock(report.clockMs(), nowNanos);
        for (ServerCommands.RunEnd end : report.ended()) {
            if (state.addEnd(end.number())) {
                news = true;
                onEnd(state, end);
            }
        }
        Set<TrackedServer.RunKey> listed = new HashSet<>();
        for (ServerCommands.RunStatus row : report.running()) {
            listed.add(new TrackedServer.RunKey(row.item(), row.run()));
            onRunning(state, row, report.clockMs());
        }
        for (Run run : state.runs()) {
            boolean covered =
                    run.phase() == Run.Phase.INHERITED || run.settledNanos() > 0 && sentNanos > run.settledNanos();
            if (listed.contains(new TrackedServer.RunKey(run.id(), run.number()))) {
                continue;
            }
            if (covered) {
                lose(run, "not at the server");
            } else if (run.doubtedBefore(sentNanos)) {
                stop(run);
            }
        }
        pace(state);
        owner.reported(state);
        if (news) {
            owner.changed();
        }
    }

    private void pace(TrackedServer state) {
        Optional<BackendServer> server = state.view();
        for (PaceController.PaceChange change :
                pace.changes(state, context.clock().monotonicNanos())) {
            change.run().setPacePercent(change.percent());
            server.ifPresent(view -> order(view, change));
        }
    }

    private void order(BackendServer server, PaceController.PaceChange change) {
        Run run = change.run();
        CompletionStage<ServerCommands.CommandResult> order =
                context.serverCommands().pace(server, fencingToken, run.id(), run.number(), change.percent());
        Completions.then(order, context.telemetry(), "pace", result -> {
            if (!(result instanceof ServerCommands.Done)) {
                context.telemetry().event(EventCode.PACE_FAILED, "run=" + run + " result=" + result);
                run.setPacePercent(UNKNOWN_PACE);
            }
        });
    }

    private void onRunning(TrackedServer state, ServerCommands.RunStatus row, long serverClockMs) {
        Optional<Run> known = state.run(row.item(), row.run());
        if (known.isEmpty()) {
            // The run of a cancelled job, or one that was given up on and has arrived late.
            context.telemetry().event(EventCode.RUN_UNKNOWN, "item=" + row.item() + " run=" + row.run());
            state.view()
                    .ifPresent(server -> context.serverCommands().stop(server, fencingToken, row.item(), row.run()));
            return;
        }
        Run run = known.get();
        run.observe(row.percent(), row.load(), serverClockMs);
        run.item().saveCheckpoint(row.checkpoint());
        if (run.phase() != Run.Phase.RUNNING && !run.stopping()) {
            run.setPhase(Run.Phase.RUNNING);
            run.settle(context.clock().monotonicNanos());
        }
        if (!run.item().job().isOpen()) {
            stop(run);
        }
    }

    private void onEnd(TrackedServer state, ServerCommands.RunEnd end) {
        Optional<ActiveJob> job = owner.job(end.item().job());
        WorkItem item = job.map(j -> j.item(end.item())).orElse(null);
        Optional<Run> run = state.run(end.item(), end.run());
        run.ifPresent(runRegistry::remove);
        if (item == null) {
            state.endStored(end.number());
            return;
        }
        boolean copy = run.filter(item::endCopy).isPresent();
        boolean current = item.run().isPresent() && run.equals(item.run());
        if (copy && end.kind() == ServerCommands.RunEndKind.DONE && !item.done()) {
            item.setAside();
        } else if (!current && item.run().isPresent()) {
            if (copy && end.kind() == ServerCommands.RunEndKind.FAILED) {
                item.countFailureOfCopy(state.incarnation().serverId());
                onFailure(state, item);
            }
            job.get().afterCommit(() -> state.endStored(end.number()));
            return;
        }
        if (!item.done()) {
            applyEnd(state, item, end);
        }
        if (item.done()) {
            item.copies().forEach(this::stop);
        }
        job.get().afterCommit(() -> state.endStored(end.number()));
    }

    private void applyEnd(TrackedServer state, WorkItem item, ServerCommands.RunEnd end) {
        item.saveCheckpoint(end.checkpoint());
        context.telemetry().count(CounterCode.RUNS_ENDED, end.kind().name());
        switch (end.kind()) {
            case DONE -> {
                state.countSuccess(context.clock().monotonicNanos());
                item.run().filter(run -> run.startedNanos() > 0).ifPresent(run -> {
                    double tookMs = (context.clock().monotonicNanos() - run.startedNanos()) / 1e6;
                    item.setTookMs(tookMs);
                    owner.ranToEnd(item, tookMs);
                });
                item.endRun(true);
                if (item.spec().gang()) {
                    item.job().stepOf(item.id()).forEach(this::endGangMember);
                }
            }
            case FAILED -> {
                item.countFailure(end.run(), state.incarnation().serverId());
                item.endRun(false);
                onFailure(state, item);
            }
            case STOPPED, LAPSED, BROKEN, ALONE -> item.endRun(false);
        }
    }

    private static boolean failsEverywhere(WorkItem item) {
        return item.failedOnServers() >= SERVERS_TO_BLAME_ITEM;
    }

    private void endGangMember(WorkItem member) {
        member.run().ifPresent(runRegistry::remove);
        member.endRun(true);
    }

    private void onFailure(TrackedServer state, WorkItem item) {
        int failures = failures(item);
        int bound = owner.maxAttempts(item);
        context.telemetry().event(EventCode.RUN_FAILED, "item=" + item.id() + " failures=" + failures + "/" + bound);
        if (failsEverywhere(item)) {
            runRegistry.servers().forEach(server -> server.pardon(item.id().job()));
        } else if (state.countFailure(item.id().job()) >= FAILED_JOBS_TO_AVOID) {
            Duration pause = state.setFailing(
                    FAILING_PAUSE, LONGEST_FAILING_PAUSE, context.clock().monotonicNanos());
            context.telemetry()
                    .event(
                            EventCode.SERVER_FAILING,
                            "server=" + state.incarnation().serverId() + " avoidedMs=" + pause.toMillis());
        }
        if (hasNoAttemptLeft(item) && !item.job().cancelled()) {
            item.job().fail();
            stopAll(item.job());
        }
    }

    private static int failures(WorkItem item) {
        return item.spec().gang()
                ? item.job().stepOf(item.id()).stream()
                        .mapToInt(WorkItem::failures)
                        .sum()
                : item.failures();
    }

    private boolean hasNoAttemptLeft(WorkItem item) {
        int bound = owner.maxAttempts(item);
        return bound > 0 && failures(item) >= bound;
    }

    /** Lets a work item be started again while its run goes on; the first one to end counts. */
    void setAside(Run run) {
        run.item().setAside();
        run.item().job().markDirty();
        owner.changed();
    }

    /** Stops all runs of a job. */
    void stopAll(ActiveJob job) {
        forEachRun(job, this::stop);
    }

    private static void forEachRun(ActiveJob job, Consumer<Run> action) {
        List<Run> runs = new ArrayList<>();
        job.items().forEach(item -> {
            item.run().ifPresent(runs::add);
            runs.addAll(item.copies());
        });
        runs.forEach(action);
    }

    /** Adds the runs of a job that was read from the store. */
    void inherit(ActiveJob job, long lapseNanos) {
        // An earlier holder stores the failures at once, and the final state only when all runs of the job have ended.
        if (!job.cancelled() && job.items().stream().anyMatch(this::hasNoAttemptLeft)) {
            job.fail();
        }
        forEachRun(job, run -> {
            runRegistry.add(run);
            runRegistry.serverOrUnlisted(run.incarnation()).expectLapse(lapseNanos);
        });
    }
}

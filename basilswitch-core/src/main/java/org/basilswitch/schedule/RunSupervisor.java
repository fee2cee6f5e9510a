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
    private static final Duration STOP_RETRY_DELAY = Duration.ofMillis(200);
    /** A server that refused for want of room shows its runs in its next report. */
    private static final Duration NO_CAPACITY_PAUSE = Duration.ofMillis(150);

    /** An unhealthy or unreachable server is tried again with the next list of servers but one. */
    private static final Duration UNHEALTHY_PAUSE = Duration.ofMillis(1000);
    /** Long enough for a failed work item to be done elsewhere. */
    private static final Duration INITIAL_FAILING_PAUSE = Duration.ofMillis(4000);
    /** The longest pause of a server that goes on failing all it is tried with. */
    private static final Duration MAX_FAILING_PAUSE = Duration.ofMillis(16_000);
    /** Jobs whose work items failed on a server in a row after which it is avoided for some time. */
    private static final int FAILED_JOBS_BEFORE_AVOIDANCE = 2;
    /** Servers on which a work item has failed after which the failures are its own. */
    private static final int FAILED_SERVERS_BEFORE_ITEM_IS_FAULTY = 2;

    /** Pace of a run after an order without an answer; any new pace differs from it. */
    private static final int UNKNOWN_PACE_PERCENT = 99;

    private final SchedulerContext context;
    private final long fencingToken;
    private final RunRegistry runRegistry;
    private final Owner owner;
    private final Map<BackendServer.Incarnation, LeaseRenewer> leaseRenewers = new HashMap<>();
    private final PaceController paceController = new PaceController();
    private boolean closed;

    /** The scheduler that the runs belong to. */
    interface Owner {
        /** The job of this identifier, if it is not ended. */
        Optional<ActiveJob> job(String id);

        /** Failed runs after which a job has failed; 0 for no bound. */
        int maxAttempts(WorkItem item);

        /** A run has ended well after some time, ms. */
        void onRunCompleted(WorkItem item, double tookMs);

        /** A server has reported what it runs. */
        void onServerReport(TrackedServer server);

        /** The advice service's ticket for a run, where its queue needs one. */
        Optional<String> ticket(Run run);

        /** Whether the duty is held now. */
        boolean isLeader();

        /** Whether orders may be sent now. */
        boolean maySendCommands();

        /** Something has changed that placement depends on. */
        void schedulePlacement();

        /** Another entry host holds the duty. */
        void leadershipLost(String reason);
    }

    RunSupervisor(SchedulerContext context, long fencingToken, RunRegistry runRegistry, Owner owner) {
        this.context = context;
        this.fencingToken = fencingToken;
        this.runRegistry = runRegistry;
        this.owner = owner;
    }

    void close() {
        closed = true;
        leaseRenewers.values().forEach(LeaseRenewer::close);
    }

    /** Takes over the list of live servers. */
    void onServers(Map<BackendServer.Incarnation, BackendServer> live) {
        Map<String, BackendServer.Incarnation> incarnationByServerId = new HashMap<>();
        live.forEach((incarnation, server) -> {
            incarnationByServerId.put(incarnation.serverId(), incarnation);
            TrackedServer tracked = runRegistry.getOrCreateServer(incarnation);
            runRegistry.setListing(tracked, Optional.of(server));
            if (!leaseRenewers.containsKey(incarnation) && !tracked.isEnded()) {
                LeaseRenewer renewer = new LeaseRenewer(
                        tracked,
                        server,
                        context.serverCommands(),
                        context.telemetry(),
                        context.clock(),
                        context.timers(),
                        fencingToken,
                        context.options().lease(),
                        owner::isLeader,
                        this::onRenewalResult);
                leaseRenewers.put(incarnation, renewer);
                renewer.wake();
            }
        });
        for (TrackedServer tracked : new ArrayList<>(runRegistry.servers())) {
            if (!live.containsKey(tracked.incarnation())) {
                runRegistry.setListing(tracked, Optional.empty());
                BackendServer.Incarnation next =
                        incarnationByServerId.get(tracked.incarnation().serverId());
                if (next != null) {
                    endIncarnation(tracked, Optional.of(next), "server started again");
                }
            }
        }
        expireLeases();
    }

    /** Ends the runs whose leases have surely lapsed and forgets servers that have left. */
    void expireLeases() {
        long nowNanos = context.clock().monotonicNanos();
        for (TrackedServer tracked : new ArrayList<>(runRegistry.servers())) {
            boolean silent = !tracked.answeredWithin(context.options().lease(), nowNanos);
            if (silent && nowNanos > tracked.leaseExpiryNanos()) {
                for (Run run : tracked.runs()) {
                    if (run.phase() != Run.Phase.RECORDING) {
                        loseRun(run, "lease lapsed");
                    }
                }
                if (tracked.listing().isEmpty() && tracked.runs().isEmpty()) {
                    remove(tracked);
                }
            }
        }
    }

    private void remove(TrackedServer tracked) {
        runRegistry.removeServer(tracked);
        Optional.ofNullable(leaseRenewers.remove(tracked.incarnation())).ifPresent(LeaseRenewer::close);
    }

    /** Records a run to be ordered once its record is stored. */
    void beginRun(WorkItem item, TrackedServer server, int number) {
        Run run = item.beginRun(number, server.incarnation(), Run.Phase.RECORDING);
        run.setRack(server.listing().flatMap(BackendServer::rack));
        runRegistry.add(run);
        item.job().runAfterCommit(() -> sendStart(run));
    }

    private void sendStart(Run run) {
        if (closed || run.item().run().filter(run::equals).isEmpty()) {
            return;
        }
        TrackedServer tracked = runRegistry.getOrCreateServer(run.incarnation());
        long nowNanos = context.clock().monotonicNanos();
        Optional<Long> leaseEnd = tracked.leaseEnd(context.options().lease(), nowNanos);
        boolean listed = tracked.listing().filter(server -> !server.draining()).isPresent();
        if (!owner.maySendCommands()
                || !run.item().job().isOpen()
                || !listed
                || tracked.isEnded()
                || leaseEnd.isEmpty()) {
            loseRun(run, "conditions changed before the start");
            return;
        }
        run.setPhase(Run.Phase.START_SENT);
        run.setStarted(nowNanos, leaseEnd.get() - context.options().lease().toMillis());
        context.telemetry()
                .count(CounterCode.RUNS_STARTED, tracked.listing().get().pool());
        run.item().job().countStart(context.clock().millis());
        context.telemetry().event(EventCode.RUN_ORDERED, "run=" + run + " leaseEndMs=" + leaseEnd.get());
        ServerCommands.StartCommand command = new ServerCommands.StartCommand(
                run.id(),
                run.number(),
                run.item().job().submission().spec(),
                leaseEnd.get(),
                run.item().checkpoint(),
                owner.ticket(run));
        Completions.then(
                context.serverCommands().start(tracked.listing().get(), fencingToken, command),
                context.telemetry(),
                "start",
                result -> onStarted(run, tracked, result));
    }

    private void onStarted(Run run, TrackedServer tracked, ServerCommands.CommandResult result) {
        if (closed) {
            return;
        }
        long nowNanos = context.clock().monotonicNanos();
        switch (result) {
            case ServerCommands.Done done -> {
                run.confirm(nowNanos);
                if (run.phase() == Run.Phase.START_SENT) {
                    run.setPhase(Run.Phase.RUNNING);
                }
                wakeLeaseRenewer(tracked);
                if (!run.item().job().isOpen()) {
                    stop(run);
                }
            }
            case ServerCommands.Rejected rejected -> onRejected(run, tracked, rejected.reason(), nowNanos);
            case ServerCommands.NoAnswer noAnswer -> {
                if (run.phase() == Run.Phase.START_SENT) {
                    context.telemetry().event(EventCode.RUN_DOUBTFUL, "run=" + run + " " + noAnswer.detail());
                    queryUnconfirmedStart(run, tracked);
                }
            }
        }
    }

    /**
     * Asks the server at once what runs there. A report from after the doubt settles it: a run that is listed goes on,
     * another one may still arrive and is barred. While there is no report the run is left alone, as it may be at work.
     */
    private void queryUnconfirmedStart(Run run, TrackedServer tracked) {
        long sentNanos = context.clock().monotonicNanos();
        run.markUnconfirmed(sentNanos);
        tracked.listing().ifPresent(server -> {
            ServerCommands.LeaseRenewal query =
                    new ServerCommands.LeaseRenewal(Optional.empty(), tracked.lastStoredEnd(), Duration.ZERO);
            Completions.then(
                    context.serverCommands().renewLease(server, fencingToken, query),
                    context.telemetry(),
                    "look",
                    result -> onRenewalResult(tracked, sentNanos, result));
        });
    }

    private void onRejected(Run run, TrackedServer tracked, ServerCommands.Reason reason, long nowNanos) {
        context.telemetry().event(EventCode.RUN_REJECTED, "run=" + run + " reason=" + reason);
        switch (reason) {
            case FENCED -> owner.leadershipLost("a backend server has seen a higher fencing number");
            case OTHER_LIFETIME -> endIncarnation(tracked, Optional.empty(), "another server answers");
            case NO_ROOM -> tracked.avoidUntil(nowNanos + NO_CAPACITY_PAUSE.toNanos());
            case UNHEALTHY, UNREACHABLE, INVALID, NO_TICKET -> tracked.avoidUntil(nowNanos + UNHEALTHY_PAUSE.toNanos());
            case OLD_RUN, LEASE_PASSED -> tracked.avoidUntil(nowNanos + NO_CAPACITY_PAUSE.toNanos());
        }
        loseRun(run, "start rejected: " + reason);
        if (run.item().spec().gang()) {
            run.item().job().stepOf(run.id()).forEach(member -> member.run().ifPresent(this::stop));
        }
        wakeLeaseRenewer(tracked);
    }

    /** Stops a run, or bars it when it may still arrive. */
    void stop(Run run) {
        if (run.phase() == Run.Phase.RECORDING || run.isStopping()) {
            return;
        }
        run.markStopping();
        sendStop(run);
    }

    private void sendStop(Run run) {
        Optional<TrackedServer> tracked = runRegistry.server(run.incarnation());
        if (closed
                || tracked.isEmpty()
                || tracked.get().run(run.id(), run.number()).isEmpty()) {
            return;
        }
        Optional<BackendServer> server = tracked.get().listing();
        if (server.isEmpty()) {
            context.timers().schedule(STOP_RETRY_DELAY, () -> sendStop(run));
            return;
        }
        CompletionStage<ServerCommands.CommandResult> stop =
                context.serverCommands().stop(server.get(), fencingToken, run.id(), run.number());
        Completions.then(stop, context.telemetry(), "stop", result -> {
            if (closed) {
                return;
            }
            switch (result) {
                case ServerCommands.Done done -> onStopConfirmed(run, tracked.get());
                case ServerCommands.NoAnswer noAnswer ->
                    context.timers().schedule(STOP_RETRY_DELAY, () -> sendStop(run));
                case ServerCommands.Rejected rejected -> {
                    switch (rejected.reason()) {
                        case OTHER_LIFETIME ->
                            endIncarnation(tracked.get(), Optional.empty(), "another server answers");
                        case FENCED -> owner.leadershipLost("a backend server has seen a higher fencing number");
                        case OLD_RUN -> onStopConfirmed(run, tracked.get());
                        default -> context.timers().schedule(STOP_RETRY_DELAY, () -> sendStop(run));
                    }
                }
            }
        });
    }

    private void onStopConfirmed(Run run, TrackedServer tracked) {
        run.confirm(context.clock().monotonicNanos());
        wakeLeaseRenewer(tracked);
    }

    private void wakeLeaseRenewer(TrackedServer tracked) {
        Optional.ofNullable(leaseRenewers.get(tracked.incarnation())).ifPresent(LeaseRenewer::wake);
    }

    /** Ends a run that can no longer be at work and has no end to its credit. */
    private void loseRun(Run run, String reason) {
        runRegistry.remove(run);
        WorkItem item = run.item();
        if (item.run().filter(run::equals).isPresent()) {
            item.endRun(false);
            item.job().countLostRun();
            item.job().markDirty();
            context.telemetry().event(EventCode.RUN_LOST, "run=" + run + " " + reason);
        }
        item.endCopy(run);
        owner.schedulePlacement();
    }

    /**
     * Ends all runs of a lifetime that is over.
     *
     * @param next the lifetime that goes on under the same identifier, if any
     */
    private void endIncarnation(TrackedServer tracked, Optional<BackendServer.Incarnation> next, String reason) {
        if (tracked.isEnded()) {
            return;
        }
        tracked.markEnded();
        context.telemetry()
                .event(
                        EventCode.SERVER_LIFETIME_ENDED,
                        "server=" + tracked.incarnation().serverId() + " " + reason);
        for (Run run : tracked.runs()) {
            if (next.isPresent() && mayStillStart(run)) {
                blockOnNextIncarnation(run, next.get());
            } else {
                loseRun(run, reason);
            }
        }
        if (tracked.listing().isEmpty()) {
            remove(tracked);
        }
    }

    /** Whether an order to start this run may be carried out from now on. */
    private static boolean mayStillStart(Run run) {
        return switch (run.phase()) {
            case START_SENT, UNCONFIRMED, RECOVERED -> true;
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
        Run.Phase phase = run.phase() == Run.Phase.RECOVERED ? Run.Phase.RECOVERED : Run.Phase.UNCONFIRMED;
        Run moved = run.item().beginRun(run.number(), next, phase);
        runRegistry.add(moved);
        runRegistry.getOrCreateServer(next).extendLeaseExpiry(context.clock().monotonicNanos() + maxLeaseNanos());
        run.item().job().markDirty();
        if (phase == Run.Phase.UNCONFIRMED) {
            stop(moved);
        }
        owner.schedulePlacement();
    }

    /** The longest time for which a lease given now lasts on a server whose clock is slow. */
    private long maxLeaseNanos() {
        return (long) (context.options().lease().toNanos() / TrackedServer.SLOWEST_CLOCK_RATE);
    }

    private void onRenewalResult(TrackedServer tracked, long sentNanos, ServerCommands.RenewalResult result) {
        if (closed) {
            return;
        }
        switch (result) {
            case ServerCommands.Report report -> onReport(tracked, sentNanos, report);
            case ServerCommands.RenewalRejected rejected -> {
                if (rejected.reason() == ServerCommands.Reason.FENCED) {
                    owner.leadershipLost("a backend server has seen a higher fencing number");
                } else if (rejected.reason() == ServerCommands.Reason.OTHER_LIFETIME) {
                    endIncarnation(tracked, Optional.empty(), "another server answers");
                }
            }
            case ServerCommands.RenewalUnanswered unanswered -> {
                context.telemetry().count(CounterCode.HOLDS_LOST, "");
                expireLeases();
            }
        }
    }

    private void onReport(TrackedServer tracked, long sentNanos, ServerCommands.Report report) {
        if (report.startedAtMs() != tracked.incarnation().startedAtMs()) {
            BackendServer.Incarnation next =
                    new BackendServer.Incarnation(tracked.incarnation().serverId(), report.startedAtMs());
            endIncarnation(tracked, Optional.of(next), "report of a lifetime born at " + report.startedAtMs());
            return;
        }
        long nowNanos = context.clock().monotonicNanos();
        boolean placementChanged = !tracked.answeredWithin(TrackedServer.MAX_ANSWER_AGE, nowNanos);
        tracked.recordClock(report.clockMs(), nowNanos);
        for (ServerCommands.RunEnd end : report.ended()) {
            if (tracked.addEnd(end.number())) {
                placementChanged = true;
                onRunEnd(tracked, end);
            }
        }
        Set<TrackedServer.RunKey> listed = new HashSet<>();
        for (ServerCommands.RunStatus status : report.running()) {
            listed.add(new TrackedServer.RunKey(status.item(), status.run()));
            onRunning(tracked, status, report.clockMs());
        }
        for (Run run : tracked.runs()) {
            boolean covered =
                    run.phase() == Run.Phase.RECOVERED || run.confirmedNanos() > 0 && sentNanos > run.confirmedNanos();
            if (listed.contains(new TrackedServer.RunKey(run.id(), run.number()))) {
                continue;
            }
            if (covered) {
                loseRun(run, "not at the server");
            } else if (run.isUnconfirmedSince(sentNanos)) {
                stop(run);
            }
        }
        adjustPace(tracked);
        owner.onServerReport(tracked);
        if (placementChanged) {
            owner.schedulePlacement();
        }
    }

    private void adjustPace(TrackedServer tracked) {
        Optional<BackendServer> server = tracked.listing();
        for (PaceController.PaceChange change :
                paceController.changes(tracked, context.clock().monotonicNanos())) {
            change.run().setPacePercent(change.percent());
            server.ifPresent(listing -> sendPace(listing, change));
        }
    }

    private void sendPace(BackendServer server, PaceController.PaceChange change) {
        Run run = change.run();
        CompletionStage<ServerCommands.CommandResult> call =
                context.serverCommands().pace(server, fencingToken, run.id(), run.number(), change.percent());
        Completions.then(call, context.telemetry(), "pace", result -> {
            if (!(result instanceof ServerCommands.Done)) {
                context.telemetry().event(EventCode.PACE_FAILED, "run=" + run + " result=" + result);
                run.setPacePercent(UNKNOWN_PACE_PERCENT);
            }
        });
    }

    private void onRunning(TrackedServer tracked, ServerCommands.RunStatus status, long serverClockMs) {
        Optional<Run> known = tracked.run(status.item(), status.run());
        if (known.isEmpty()) {
            // The run of a cancelled job, or one that was given up on and has arrived late.
            context.telemetry().event(EventCode.RUN_UNKNOWN, "item=" + status.item() + " run=" + status.run());
            tracked.listing()
                    .ifPresent(
                            server -> context.serverCommands().stop(server, fencingToken, status.item(), status.run()));
            return;
        }
        Run run = known.get();
        run.observe(status.percent(), status.load(), serverClockMs);
        run.item().saveCheckpoint(status.checkpoint());
        if (run.phase() != Run.Phase.RUNNING && !run.isStopping()) {
            run.setPhase(Run.Phase.RUNNING);
            run.confirm(context.clock().monotonicNanos());
        }
        if (!run.item().job().isOpen()) {
            stop(run);
        }
    }

    private void onRunEnd(TrackedServer tracked, ServerCommands.RunEnd end) {
        Optional<ActiveJob> job = owner.job(end.item().job());
        WorkItem item = job.map(j -> j.item(end.item())).orElse(null);
        Optional<Run> run = tracked.run(end.item(), end.run());
        run.ifPresent(runRegistry::remove);
        if (item == null) {
            tracked.markEndStored(end.number());
            return;
        }
        boolean copy = run.filter(item::endCopy).isPresent();
        boolean current = item.run().isPresent() && run.equals(item.run());
        if (copy && end.kind() == ServerCommands.RunEndKind.DONE && !item.isDone()) {
            item.demoteRunToCopy();
        } else if (!current && item.run().isPresent()) {
            if (copy && end.kind() == ServerCommands.RunEndKind.FAILED) {
                item.countFailureOfCopy(tracked.incarnation().serverId());
                onFailure(tracked, item);
            }
            job.get().runAfterCommit(() -> tracked.markEndStored(end.number()));
            return;
        }
        if (!item.isDone()) {
            applyRunEnd(tracked, item, end);
        }
        if (item.isDone()) {
            item.copies().forEach(this::stop);
        }
        job.get().runAfterCommit(() -> tracked.markEndStored(end.number()));
    }

    private void applyRunEnd(TrackedServer tracked, WorkItem item, ServerCommands.RunEnd end) {
        item.saveCheckpoint(end.checkpoint());
        context.telemetry().count(CounterCode.RUNS_ENDED, end.kind().name());
        switch (end.kind()) {
            case DONE -> {
                tracked.countSuccess(context.clock().monotonicNanos());
                item.run().filter(run -> run.startedNanos() > 0).ifPresent(run -> {
                    double tookMs = (context.clock().monotonicNanos() - run.startedNanos()) / 1e6;
                    item.setDurationMs(tookMs);
                    owner.onRunCompleted(item, tookMs);
                });
                item.endRun(true);
                if (item.spec().gang()) {
                    item.job().stepOf(item.id()).forEach(this::endGangMember);
                }
            }
            case FAILED -> {
                item.countFailure(end.run(), tracked.incarnation().serverId());
                item.endRun(false);
                onFailure(tracked, item);
            }
            case STOPPED, LAPSED, BROKEN, ALONE -> item.endRun(false);
        }
    }

    private static boolean isFaulty(WorkItem item) {
        return item.failedOnServers() >= FAILED_SERVERS_BEFORE_ITEM_IS_FAULTY;
    }

    private void endGangMember(WorkItem member) {
        member.run().ifPresent(runRegistry::remove);
        member.endRun(true);
    }

    private void onFailure(TrackedServer tracked, WorkItem item) {
        int failures = failures(item);
        int maxAttempts = owner.maxAttempts(item);
        context.telemetry()
                .event(EventCode.RUN_FAILED, "item=" + item.id() + " failures=" + failures + "/" + maxAttempts);
        if (isFaulty(item)) {
            runRegistry
                    .servers()
                    .forEach(server -> server.clearFailure(item.id().job()));
        } else if (tracked.countFailure(item.id().job()) >= FAILED_JOBS_BEFORE_AVOIDANCE) {
            Duration pause = tracked.markFailing(
                    INITIAL_FAILING_PAUSE, MAX_FAILING_PAUSE, context.clock().monotonicNanos());
            context.telemetry()
                    .event(
                            EventCode.SERVER_FAILING,
                            "server=" + tracked.incarnation().serverId() + " avoidedMs=" + pause.toMillis());
        }
        if (hasNoAttemptLeft(item) && !item.job().isCancelled()) {
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
        int maxAttempts = owner.maxAttempts(item);
        return maxAttempts > 0 && failures(item) >= maxAttempts;
    }

    /** Lets a work item be started again while its run goes on; the first one to end counts. */
    void demoteToCopy(Run run) {
        run.item().demoteRunToCopy();
        run.item().job().markDirty();
        owner.schedulePlacement();
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
    void recoverRuns(ActiveJob job, long leaseExpiryNanos) {
        // An earlier holder stores the failures at once, and the final state only when all runs of the job have ended.
        if (!job.isCancelled() && job.items().stream().anyMatch(this::hasNoAttemptLeft)) {
            job.fail();
        }
        forEachRun(job, run -> {
            runRegistry.add(run);
            runRegistry.getOrCreateServer(run.incarnation()).extendLeaseExpiry(leaseExpiryNanos);
        });
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletionStage;

import org.basilswitch.event.Completions;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;

/**
 * Supervises the runs of work items on backend servers: sends start and stop commands, processes reports, and
 * determines when a run is no longer in progress.
 */
final class RunSupervisor {
    /** Delay between attempts to stop a run; a server takes up to 200 ms to stop one. */
    private static final Duration STOP_RETRY_DELAY = Duration.ofMillis(200);
    /**
     * Time without new work for a server that rejected a start for lack of capacity; its next report shows its runs.
     */
    private static final Duration NO_CAPACITY_PAUSE = Duration.ofMillis(150);

    /**
     * Time without new work for an unhealthy or unreachable server; it is used again with the second next list of
     * servers.
     */
    private static final Duration UNHEALTHY_PAUSE = Duration.ofMillis(1000);

    private final SchedulerContext context;
    private final IncarnationFences fences;
    private final RunRegistry runRegistry;
    private final Owner owner;
    private final Map<BackendServer.Incarnation, LeaseRenewer> leaseRenewers = new HashMap<>();
    private final AttemptLimits attemptLimits;
    private final RunEnds runEnds;
    private final StartConditions startConditions;
    private final PaceSender paceSender;
    private final StartsAwaitingTickets startsAwaitingTickets;
    private boolean closed;

    /** Scheduler that the runs belong to. */
    interface Owner {
        /** Returns the job with this identifier, if it has not ended. */
        Optional<ActiveJob> job(String id);

        /**
         * Returns the number of failed runs after which a job has failed, 0 for no limit; empty while the configuration
         * does not hold the job's queue.
         */
        OptionalInt maxAttempts(WorkItem item);

        /** Called when a run has completed; the duration is in ms. */
        void onRunCompleted(WorkItem item, double tookMs);

        /** Called when a server has reported its runs. */
        void onServerReport(TrackedServer server);

        /** Returns the ticket of the advice service for a run, if there is one. */
        Optional<String> ticket(Run run);

        /** Returns whether a run needs a ticket of the advice service and there is no valid one. */
        boolean lacksTicket(Run run);

        /**
         * Has the ticket of a recorded run renewed, which has waited for it since a time; returns false if the run is
         * not to wait any longer.
         */
        boolean awaitTicket(Run run, long sinceNanos);

        /** Called when a server has accepted a start with a ticket; the time is that at which it was sent. */
        void onTicketAccepted(Run run, long sentNanos);

        /** Called when a server has rejected a start for want of a valid ticket. */
        void onTicketRejected(Run run);

        /** Returns whether this entry host is the scheduler leader now. */
        boolean isLeader();

        /** Returns whether commands may be sent now. */
        boolean maySendCommands();

        /** Schedules a placement round, after a change that placement depends on. */
        void schedulePlacement();

        /** Called when another entry host is found to be the leader. */
        void leadershipLost(String reason);
    }

    RunSupervisor(
            SchedulerContext context,
            IncarnationFences fences,
            RunRegistry runRegistry,
            TeamLimits teamLimits,
            Owner owner) {
        this.context = context;
        this.fences = fences;
        this.runRegistry = runRegistry;
        this.owner = owner;
        this.attemptLimits = new AttemptLimits(owner::maxAttempts);
        this.runEnds = new RunEnds(context, runRegistry, owner, attemptLimits, this::stop);
        this.startConditions = new StartConditions(runRegistry, teamLimits, context.evacuations());
        this.startsAwaitingTickets = new StartsAwaitingTickets(owner);
        this.paceSender = new PaceSender(context);
    }

    void close() {
        closed = true;
        leaseRenewers.values().forEach(LeaseRenewer::close);
    }

    /**
     * Applies a new list of live servers: starts renewing the leases of new incarnations and ends incarnations that
     * were replaced.
     */
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
                        context.holderClock(),
                        context.steadyClock(),
                        context.timers(),
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
                // A report may have told of a restart that this list, which was read before, does not know.
                if (next != null && next.startedAtMs() > tracked.incarnation().startedAtMs()) {
                    endIncarnation(tracked, Optional.of(next), "server restarted");
                }
            }
        }
        expireLeases();
    }

    /** Ends the runs whose leases have expired even on the slowest clock, and removes servers that have left. */
    void expireLeases() {
        long nowNanos = context.holderClock().monotonicNanos();
        long nowSteadyNanos = context.steadyClock().monotonicNanos();
        for (TrackedServer tracked : new ArrayList<>(runRegistry.servers())) {
            boolean silent = !tracked.answeredWithin(context.options().lease(), nowNanos);
            if (silent && nowSteadyNanos > tracked.leaseGrants().expiryNanos()) {
                for (Run run : tracked.runs()) {
                    if (run.phase() != Run.Phase.RECORDING) {
                        loseRun(run, "lease expired " + leaseDetail(tracked, nowNanos, nowSteadyNanos));
                    }
                }
                if (tracked.listing().isEmpty() && tracked.runs().isEmpty()) {
                    closeLeaseRenewer(tracked);
                    // The next incarnation has to know of commands that it may still carry out.
                    if (tracked.leaseGrants().expiryOnNextNanos(nowSteadyNanos).isEmpty()) {
                        runRegistry.removeServer(tracked);
                    }
                }
            }
        }
    }

    private static String leaseDetail(TrackedServer tracked, long nowNanos, long nowSteadyNanos) {
        String reportAgeMs = tracked.reportAge(nowNanos)
                .map(age -> Long.toString(age.toMillis()))
                .orElse("none");
        Duration overdue =
                Duration.ofNanos(nowSteadyNanos - tracked.leaseGrants().expiryNanos());
        return "reportAgeMs=" + reportAgeMs + " overdueMs=" + overdue.toMillis();
    }

    private void remove(TrackedServer tracked) {
        runRegistry.removeServer(tracked);
        closeLeaseRenewer(tracked);
    }

    private void closeLeaseRenewer(TrackedServer tracked) {
        Optional.ofNullable(leaseRenewers.remove(tracked.incarnation())).ifPresent(LeaseRenewer::close);
    }

    /** Creates a run whose start command is sent after its record is stored. */
    void beginRun(WorkItem item, TrackedServer server, int number) {
        Run run = item.beginRun(number, server.incarnation(), Run.Phase.RECORDING);
        run.setHold(server.leaseGrants().inheritedHold(context.steadyClock().monotonicNanos()));
        run.setRack(server.listing().flatMap(BackendServer::rack));
        runRegistry.add(run);
        item.job().runAfterCommit(() -> sendStart(run));
    }

    private void sendStart(Run run) {
        boolean recorded = run.phase() == Run.Phase.RECORDING
                && run.item().run().filter(run::equals).isPresent();
        if (closed || !recorded) {
            return;
        }
        TrackedServer tracked = runRegistry.getOrCreateServer(run.incarnation());
        long nowNanos = context.holderClock().monotonicNanos();
        Optional<Long> leaseEnd = tracked.leaseEnd(
                context.options().lease(), context.steadyClock().monotonicNanos());
        boolean mayStart = owner.maySendCommands() && startConditions.areMet(run);
        if (mayStart && leaseEnd.isPresent() && startsAwaitingTickets.await(run, nowNanos)) {
            return;
        }
        if (!mayStart || leaseEnd.isEmpty() || owner.lacksTicket(run)) {
            loseRun(run, "start conditions no longer met");
            abandonGang(run);
            return;
        }
        run.setPhase(Run.Phase.START_SENT);
        run.setStarted(nowNanos, leaseEnd.get() - context.options().lease().toMillis());
        context.telemetry()
                .count(CounterCode.RUNS_STARTED, tracked.listing().get().pool());
        run.item().job().countStart(context.holderClock().millis());
        long sentSteadyNanos = context.steadyClock().monotonicNanos();
        context.telemetry().event(EventCode.RUN_ORDERED, "run=" + run + " leaseEndMs=" + leaseEnd.get());
        ServerCommands.StartCommand command = new ServerCommands.StartCommand(
                run.id(),
                run.number(),
                run.item().job().submission().spec(),
                leaseEnd.get(),
                run.item().checkpoint(),
                owner.ticket(run));
        Completions.thenAcceptOrLog(
                context.serverCommands().start(tracked.listing().get(), tracked.fencingToken(), command),
                context.telemetry(),
                "start",
                result -> {
                    recordLeaseOfStart(tracked, sentSteadyNanos, result);
                    if (result instanceof ServerCommands.Done
                            && command.ticket().isPresent()) {
                        owner.onTicketAccepted(run, nowNanos);
                    }
                    onStarted(run, tracked, result);
                });
    }

    /** Starts the recorded runs whose tickets were renewed. */
    void startWaitingRuns() {
        startsAwaitingTickets.retry(this::sendStart);
    }

    private void recordLeaseOfStart(TrackedServer tracked, long sentSteadyNanos, ServerCommands.CommandResult result) {
        if (result instanceof ServerCommands.NoAnswer) {
            tracked.leaseGrants().startUnanswered(sentSteadyNanos);
        } else if (result instanceof ServerCommands.Done
                || result instanceof ServerCommands.Rejected rejected && takesLease(rejected.reason())) {
            tracked.leaseGrants()
                    .startAnswered(
                            context.steadyClock().monotonicNanos(),
                            context.holderClock().monotonicNanos());
        }
    }

    /** Returns whether a server takes the lease end of a start that it rejects for this reason. */
    private static boolean takesLease(ServerCommands.Reason reason) {
        return switch (reason) {
            case OLD_RUN, NO_ROOM -> true;
            case FENCED, LEASE_PASSED, NO_TICKET, UNHEALTHY, OTHER_LIFETIME, UNREACHABLE, INVALID -> false;
        };
    }

    private void onStarted(Run run, TrackedServer tracked, ServerCommands.CommandResult result) {
        if (closed) {
            return;
        }
        long nowNanos = context.holderClock().monotonicNanos();
        switch (result) {
            case ServerCommands.Done done -> {
                run.confirm(nowNanos);
                run.item().markBegun();
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
     * Queries the server immediately for its runs after a start without an answer. A report on a query sent after that
     * time decides: a listed run continues; a missing run may still start later, so it is stopped. Without a report the
     * run is kept, as it may be in progress.
     */
    private void queryUnconfirmedStart(Run run, TrackedServer tracked) {
        long sentNanos = context.holderClock().monotonicNanos();
        run.markUnconfirmed(sentNanos);
        tracked.listing().ifPresent(server -> {
            ServerCommands.LeaseRenewal query = new ServerCommands.LeaseRenewal(Optional.empty(), 0, Duration.ZERO);
            Completions.thenAcceptOrLog(
                    context.serverCommands().renewLease(server, tracked.fencingToken(), query),
                    context.telemetry(),
                    "look",
                    result -> onRenewalResult(tracked, sentNanos, query, result));
        });
    }

    private void onRejected(Run run, TrackedServer tracked, ServerCommands.Reason reason, long nowNanos) {
        context.telemetry().event(EventCode.RUN_REJECTED, "run=" + run + " reason=" + reason);
        switch (reason) {
            case FENCED -> onFenced(tracked);
            case OTHER_LIFETIME -> endIncarnation(tracked, Optional.empty(), "another incarnation answers");
            case NO_ROOM -> tracked.avoidUntil(nowNanos + NO_CAPACITY_PAUSE.toNanos());
            case NO_TICKET -> owner.onTicketRejected(run);
            case UNHEALTHY, UNREACHABLE, INVALID -> tracked.avoidUntil(nowNanos + UNHEALTHY_PAUSE.toNanos());
            case OLD_RUN, LEASE_PASSED -> tracked.avoidUntil(nowNanos + NO_CAPACITY_PAUSE.toNanos());
        }
        loseRun(run, "start rejected: " + reason);
        abandonGang(run);
        wakeLeaseRenewer(tracked);
    }

    /** Handles a rejection by a server that has seen a higher token: of another incarnation or of another leader. */
    private void onFenced(TrackedServer tracked) {
        if (fences.isHighest(tracked.incarnation(), tracked.fencingToken())) {
            owner.leadershipLost("a backend server has seen a higher fencing token");
        } else {
            tracked.setFencingToken(fences.raise(tracked.incarnation()));
        }
    }

    /** Ends the other members' runs of a gang of which one member can't start. */
    private void abandonGang(Run run) {
        if (!run.item().spec().gang()) {
            return;
        }
        for (WorkItem member : run.item().job().stepOf(run.id())) {
            member.run().filter(other -> other.number() == run.number()).ifPresent(other -> {
                if (other.phase() == Run.Phase.RECORDING) {
                    loseRun(other, "another member of the gang can't start");
                } else {
                    stop(other);
                }
            });
        }
    }

    /** Stops a run; the server rejects a start of this run that arrives later. */
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
                context.serverCommands().stop(server.get(), tracked.get().fencingToken(), run.id(), run.number());
        Completions.thenAcceptOrLog(stop, context.telemetry(), "stop", result -> {
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
                            endIncarnation(tracked.get(), Optional.empty(), "another incarnation answers");
                        case FENCED -> {
                            onFenced(tracked.get());
                            context.timers().schedule(STOP_RETRY_DELAY, () -> sendStop(run));
                        }
                        case OLD_RUN -> onStopConfirmed(run, tracked.get());
                        default -> context.timers().schedule(STOP_RETRY_DELAY, () -> sendStop(run));
                    }
                }
            }
        });
    }

    private void onStopConfirmed(Run run, TrackedServer tracked) {
        run.confirm(context.holderClock().monotonicNanos());
        wakeLeaseRenewer(tracked);
    }

    private void wakeLeaseRenewer(TrackedServer tracked) {
        Optional.ofNullable(leaseRenewers.get(tracked.incarnation())).ifPresent(LeaseRenewer::wake);
    }

    /** Ends a run that is no longer in progress and has not reported an end. */
    private void loseRun(Run run, String reason) {
        runRegistry.remove(run);
        WorkItem item = run.item();
        if (item.run().filter(run::equals).isPresent()) {
            item.endRun(false);
            item.job().countLostRun();
            item.job().markDirty();
            context.telemetry()
                    .event(
                            EventCode.RUN_LOST,
                            "run=" + run + " " + reason + " phase=" + run.phase() + " recovered=" + run.isRecovered());
        }
        item.endCopy(run);
        owner.schedulePlacement();
    }

    /**
     * Ends all runs of a server incarnation that has ended.
     *
     * @param next the incarnation that replaced it under the same identifier, if any
     */
    private void endIncarnation(TrackedServer tracked, Optional<BackendServer.Incarnation> next, String reason) {
        next.ifPresent(incarnation -> passOnLeases(tracked, incarnation));
        if (tracked.isEnded()) {
            return;
        }
        tracked.markEnded();
        context.telemetry()
                .event(
                        EventCode.SERVER_LIFETIME_ENDED,
                        "server=" + tracked.incarnation().serverId() + " " + reason);
        for (Run run : tracked.runs()) {
            if (next.isPresent() && mayRunOnNextIncarnation(run)) {
                moveToNextIncarnation(run, next.get());
            } else {
                loseRun(run, reason);
            }
        }
        if (tracked.listing().isEmpty()) {
            remove(tracked);
        }
    }

    /** Passes on to the next incarnation how long it may hold runs because of calls for this one. */
    private void passOnLeases(TrackedServer tracked, BackendServer.Incarnation next) {
        tracked.leaseGrants()
                .expiryOnNextNanos(context.steadyClock().monotonicNanos())
                .ifPresent(expiryNanos ->
                        runRegistry.getOrCreateServer(next).leaseGrants().inherit(expiryNanos));
    }

    /** Returns whether the next incarnation may carry out the start command of this run, or has already done so. */
    private static boolean mayRunOnNextIncarnation(Run run) {
        return switch (run.phase()) {
            case START_SENT, UNCONFIRMED, RECOVERED -> true;
            case RUNNING -> !run.isReported();
            case RECORDING -> false;
        };
    }

    /**
     * Moves a run whose start command may be delayed to the next incarnation of its server. That incarnation has the
     * same identifier, has not seen a fencing token and starts its clock anew, so it would carry out the start, and the
     * lease end that the command names on the earlier clock does not limit the lease. Its first report decides: a listed
     * run continues, a missing one is stopped, so that a start that arrives later is rejected.
     */
    private void moveToNextIncarnation(Run run, BackendServer.Incarnation next) {
        runRegistry.remove(run);
        if (run.item().run().filter(run::equals).isEmpty()) {
            return;
        }
        Run.Phase phase = run.phase() == Run.Phase.RECOVERED ? Run.Phase.RECOVERED : Run.Phase.UNCONFIRMED;
        Run moved = run.item().beginRun(run.number(), next, phase);
        runRegistry.add(moved);
        LeaseGrants grants = runRegistry.getOrCreateServer(next).leaseGrants();
        // An answered start was carried out, by this or the next incarnation; any other may be carried out late.
        Duration hold = run.phase() == Run.Phase.RUNNING ? grants.maxRun() : grants.maxDelayedRun();
        grants.inherit(context.steadyClock().monotonicNanos() + hold.toNanos());
        moved.setHold(hold);
        run.item().job().markDirty();
        if (phase == Run.Phase.UNCONFIRMED) {
            moved.markUnconfirmed(context.holderClock().monotonicNanos());
        }
        if (run.isStopping()) {
            stop(moved);
        }
        owner.schedulePlacement();
    }

    private void onRenewalResult(
            TrackedServer tracked,
            long sentNanos,
            ServerCommands.LeaseRenewal command,
            ServerCommands.RenewalResult result) {
        if (closed) {
            return;
        }
        switch (result) {
            case ServerCommands.Report report -> onReport(tracked, sentNanos, command, report);
            case ServerCommands.RenewalRejected rejected -> {
                if (rejected.reason() == ServerCommands.Reason.FENCED) {
                    onFenced(tracked);
                } else if (rejected.reason() == ServerCommands.Reason.OTHER_LIFETIME) {
                    endIncarnation(tracked, Optional.empty(), "another incarnation answers");
                }
            }
            case ServerCommands.RenewalUnanswered unanswered -> {
                context.telemetry().count(CounterCode.HOLDS_LOST, "");
                expireLeases();
            }
        }
    }

    private void onReport(
            TrackedServer tracked, long sentNanos, ServerCommands.LeaseRenewal command, ServerCommands.Report report) {
        if (report.startedAtMs() != tracked.incarnation().startedAtMs()) {
            BackendServer.Incarnation next =
                    new BackendServer.Incarnation(tracked.incarnation().serverId(), report.startedAtMs());
            if (command.leaseEndMs().isPresent()) {
                // The next incarnation has taken the lease end, which is named on the clock of this one.
                LeaseGrants grants = runRegistry.getOrCreateServer(next).leaseGrants();
                grants.inherit(
                        context.steadyClock().monotonicNanos() + grants.maxRun().toNanos());
            }
            endIncarnation(tracked, Optional.of(next), "report of an incarnation started at " + report.startedAtMs());
            return;
        }
        long nowNanos = context.holderClock().monotonicNanos();
        tracked.leaseGrants().reported(sentNanos);
        if (fences.isHighest(tracked.incarnation(), tracked.fencingToken())) {
            tracked.leaseGrants().fenced(context.steadyClock().monotonicNanos());
        }
        tracked.markAcknowledged(command.acknowledgedEndNumber());
        boolean placementChanged = !tracked.answeredWithin(TrackedServer.MAX_ANSWER_AGE, nowNanos);
        tracked.recordClock(report.clockMs(), nowNanos, context.steadyClock().monotonicNanos());
        context.plannedTime().observe(tracked.incarnation(), report.clockMs());
        for (ServerCommands.RunEnd end : report.ended()) {
            if (tracked.addEnd(end.number())) {
                placementChanged = true;
                runEnds.onRunEnd(tracked, end);
            }
        }
        Set<TrackedServer.RunKey> listed = new HashSet<>();
        for (ServerCommands.RunStatus status : report.running()) {
            listed.add(new TrackedServer.RunKey(status.item(), status.run()));
            onRunning(tracked, status, report);
        }
        for (Run run : tracked.runs()) {
            boolean covered =
                    run.phase() == Run.Phase.RECOVERED || run.confirmedNanos() > 0 && sentNanos > run.confirmedNanos();
            if (listed.contains(new TrackedServer.RunKey(run.id(), run.number()))) {
                continue;
            }
            if (covered && report.listsAllEnds()) {
                loseRun(run, "not running on the server");
            } else if (run.isUnconfirmedSince(sentNanos)) {
                stop(run);
            }
        }
        paceSender.adjust(tracked);
        owner.onServerReport(tracked);
        if (placementChanged) {
            owner.schedulePlacement();
        }
    }

    private void onRunning(TrackedServer tracked, ServerCommands.RunStatus status, ServerCommands.Report report) {
        Optional<Run> known =
                tracked.run(status.item(), status.run()).or(() -> takeOverUnknownRun(tracked, status, report));
        if (known.isEmpty()) {
            // The run belongs to a cancelled job, or it was considered lost and started late.
            context.telemetry()
                    .event(
                            EventCode.RUN_UNKNOWN,
                            "item=" + status.item() + " run=" + status.run() + " server="
                                    + tracked.incarnation().serverId());
            tracked.listing()
                    .ifPresent(server ->
                            context.serverCommands().stop(server, tracked.fencingToken(), status.item(), status.run()));
            return;
        }
        Run run = known.get();
        run.item().markBegun();
        run.observe(status.percent(), status.load(), report.clockMs());
        run.item().saveCheckpoint(status.checkpoint());
        if (run.phase() != Run.Phase.RUNNING && !run.isStopping()) {
            run.setPhase(Run.Phase.RUNNING);
            run.confirm(context.holderClock().monotonicNanos());
        }
        if (!run.item().job().isOpen()) {
            stop(run);
        }
    }

    /**
     * Takes over a run that this leader does not know, if its work item would be started otherwise: an earlier leader's
     * start may have been carried out late, or the run was considered lost.
     */
    private Optional<Run> takeOverUnknownRun(
            TrackedServer tracked, ServerCommands.RunStatus status, ServerCommands.Report report) {
        Optional<WorkItem> found = owner.job(status.item().job())
                .filter(ActiveJob::isOpen)
                .map(job -> job.item(status.item()))
                .filter(item -> !item.isDone() && !item.spec().gang())
                .filter(item -> item.run().isEmpty() || isReplacedBy(item.run().get(), tracked, report));
        if (found.isEmpty()) {
            return Optional.empty();
        }
        WorkItem item = found.get();
        item.run().ifPresent(runRegistry::remove);
        Run run = item.beginRun(status.run(), tracked.incarnation(), Run.Phase.UNCONFIRMED);
        run.setHold(tracked.leaseGrants().inheritedHold(context.steadyClock().monotonicNanos()));
        run.setRack(tracked.listing().flatMap(BackendServer::rack));
        runRegistry.add(run);
        item.job().markDirty();
        context.telemetry().event(EventCode.RUN_TAKEN_OVER, "run=" + run);
        return Optional.of(run);
    }

    /**
     * Returns whether an unknown run in a report takes the place of an item's run: one that was not sent yet, or one that a
     * record names for this server by the item's last number and that the report does not list.
     */
    private static boolean isReplacedBy(Run run, TrackedServer tracked, ServerCommands.Report report) {
        return switch (run.phase()) {
            case RECORDING -> true;
            case RECOVERED ->
                run.incarnation().equals(tracked.incarnation())
                        && report.running().stream()
                                .noneMatch(other -> other.item().equals(run.id()) && other.run() == run.number());
            case START_SENT, UNCONFIRMED, RUNNING -> false;
        };
    }

    /**
     * Demotes the current run of a work item to a copy, so that the item can be started again; the first run that
     * completes counts.
     */
    void demoteToCopy(Run run) {
        run.item().demoteRunToCopy();
        run.item().job().markDirty();
        owner.schedulePlacement();
    }

    /** Decides whether jobs have failed of which a run failed while the configuration did not hold their queue. */
    void decideDeferredFailures(Collection<ActiveJob> jobs) {
        runEnds.decideDeferredFailures(jobs);
    }

    /** Stops all runs of a job, including copies. */
    void stopAll(ActiveJob job) {
        job.forEachRun(this::stop);
    }

    /** Adds the runs of a job that was read from the store, with the steady time at which their leases have expired. */
    void recoverRuns(ActiveJob job, long leaseExpirySteadyNanos) {
        // An earlier leader stores failures immediately, but the final state only after all runs of the job have ended.
        if (!job.isCancelled() && attemptLimits.isExhausted(job)) {
            job.fail();
        }
        job.forEachRun(run -> {
            runRegistry.add(run);
            TrackedServer server = runRegistry.getOrCreateServer(run.incarnation());
            server.leaseGrants().extendExpiry(leaseExpirySteadyNanos);
            server.leaseGrants()
                    .inherit(context.steadyClock().monotonicNanos() + run.hold().toNanos());
        });
    }
}

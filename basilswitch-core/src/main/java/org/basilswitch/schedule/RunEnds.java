package org.basilswitch.schedule;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;

/** Applies the ends of runs that servers report to work items, gangs and jobs. */
final class RunEnds {
    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final RunSupervisor.Owner owner;
    private final AttemptLimits attemptLimits;
    private final FailureAttribution failureAttribution;
    private final Consumer<Run> stop;

    RunEnds(
            SchedulerContext context,
            RunRegistry runRegistry,
            RunSupervisor.Owner owner,
            AttemptLimits attemptLimits,
            Consumer<Run> stop) {
        this.context = context;
        this.runRegistry = runRegistry;
        this.owner = owner;
        this.attemptLimits = attemptLimits;
        this.failureAttribution = new FailureAttribution(context, runRegistry);
        this.stop = stop;
    }

    /** Applies an end, and has it acknowledged once the result is stored. */
    void onRunEnd(TrackedServer tracked, ServerCommands.RunEnd end) {
        Optional<ActiveJob> job = owner.job(end.item().job());
        WorkItem item = job.map(j -> j.item(end.item())).orElse(null);
        Optional<Run> run = tracked.run(end.item(), end.run());
        run.ifPresent(runRegistry::remove);
        if (item == null) {
            tracked.markEndStored(end.number());
            return;
        }
        item.markBegun();
        run.ifPresent(item::endCopy);
        boolean current = item.run().isPresent() && run.equals(item.run());
        boolean completes = end.kind() == ServerCommands.RunEndKind.DONE
                && !item.isDone()
                && !item.spec().longRunning();
        if (!current && completes) {
            // A copy, or a run that was taken for lost or that only an earlier leader followed, has completed the item.
            supersedeRun(item);
        } else if (!current && item.run().isPresent()) {
            if (end.kind() == ServerCommands.RunEndKind.FAILED) {
                item.countFailure(end.run(), tracked.incarnation().serverId());
                onFailure(tracked, item, run);
            }
            job.get().runAfterCommit(() -> tracked.markEndStored(end.number()));
            return;
        }
        if (!item.isDone()) {
            applyRunEnd(tracked, item, run, end);
        }
        if (item.isDone()) {
            item.copies().forEach(stop);
        }
        job.get().runAfterCommit(() -> tracked.markEndStored(end.number()));
    }

    /** Makes the current run of an item a copy, which is stopped later; a run that was not sent yet is dropped. */
    private void supersedeRun(WorkItem item) {
        item.run().filter(run -> run.phase() == Run.Phase.RECORDING).ifPresent(run -> {
            runRegistry.remove(run);
            item.endRun(false);
        });
        item.demoteRunToCopy();
    }

    private void applyRunEnd(TrackedServer tracked, WorkItem item, Optional<Run> run, ServerCommands.RunEnd end) {
        item.saveCheckpoint(end.checkpoint());
        context.telemetry().count(CounterCode.RUNS_ENDED, end.kind().name());
        switch (end.kind()) {
            case DONE -> {
                tracked.countSuccess(context.holderClock().monotonicNanos());
                item.run().filter(current -> current.startedNanos() > 0).ifPresent(current -> {
                    double tookMs = (context.holderClock().monotonicNanos() - current.startedNanos()) / 1e6;
                    item.setDurationMs(tookMs);
                    owner.onRunCompleted(item, tookMs);
                });
                item.endRun(true);
                if (item.spec().gang()) {
                    item.job().stepOf(item.id()).forEach(member -> endGangMember(member, end.run()));
                }
            }
            case FAILED -> {
                item.countFailure(end.run(), tracked.incarnation().serverId());
                item.endRun(false);
                onFailure(tracked, item, run);
            }
            case STOPPED, LAPSED, BROKEN, ALONE -> item.endRun(false);
        }
    }

    /**
     * Ends a gang member's part in a run of which one member is done; the members of a run end as done together. The
     * member may be in a later run if this one was taken for lost.
     */
    private void endGangMember(WorkItem member, int number) {
        Optional<Run> current = member.run();
        if (current.filter(run -> run.number() != number).isEmpty()) {
            current.ifPresent(runRegistry::remove);
            member.endRun(true);
        } else if (!member.spec().longRunning()) {
            supersedeRun(member);
            member.endRun(true);
            member.copies().forEach(stop);
        }
    }

    private void onFailure(TrackedServer tracked, WorkItem item, Optional<Run> run) {
        context.telemetry().event(EventCode.RUN_FAILED, "item=" + item.id() + " " + attemptLimits.describe(item));
        failureAttribution.onFailure(tracked, item, run);
        if (!item.job().isCancelled() && attemptLimits.isExhausted(item)) {
            item.job().fail();
            item.job().forEachRun(stop);
        }
    }

    /** Decides whether jobs have failed of which a run failed while the configuration did not hold their queue. */
    void decideDeferredFailures(Collection<ActiveJob> jobs) {
        for (ActiveJob job : jobs) {
            if (job.takeDeferredFailure() && job.isOpen() && attemptLimits.isExhausted(job)) {
                job.fail();
                job.forEachRun(stop);
            }
        }
    }
}

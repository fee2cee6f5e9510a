package org.basilswitch.schedule;

import java.util.Collection;
import java.util.Optional;

import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.StepSpec;
import org.basilswitch.locality.DelayScheduling;
import org.basilswitch.locality.RackDemand;
import org.basilswitch.locality.RemoteFactor;
import org.basilswitch.locality.WaitModel;

/** Knowledge of this leader about runs near and away from their data or group, kept across placement rounds. */
final class LocalityPolicy {
    private final SchedulerContext context;
    private final RunRegistry runRegistry;
    private final JobOrder jobOrder;
    private final DurationModel durationModel;
    private final RemoteFactor remoteFactor;
    private final WaitModel waitModel = WaitModel.create();
    private final RackDemand demand = RackDemand.create();

    LocalityPolicy(SchedulerContext context, RunRegistry runRegistry, JobOrder jobOrder, DurationModel durationModel) {
        this.context = context;
        this.runRegistry = runRegistry;
        this.jobOrder = jobOrder;
        this.durationModel = durationModel;
        this.remoteFactor = RemoteFactor.of(context.options().remoteFactor());
    }

    /** Begins a placement round over jobs in the order in which they get servers. */
    LocalityRound round(JobConfiguration configuration, Collection<ActiveJob> orderedJobs, long nowNanos) {
        return new LocalityRound(this, configuration, orderedJobs, nowNanos);
    }

    RemoteFactor remoteFactor() {
        return remoteFactor;
    }

    RackDemand demand() {
        return demand;
    }

    RunRegistry runRegistry() {
        return runRegistry;
    }

    /** Returns the expected duration of an item near its data, in ms. */
    double expectedMs(WorkItem item) {
        return durationModel.expectedMs(
                item.job().submission().queue(), item.spec().estimateMs());
    }

    /** Returns the time to a job's latest start, in ms; negative once it has passed. */
    double slackMs(ActiveJob job) {
        return jobOrder.latestStartMs(job) - context.holderClock().millis();
    }

    /** Returns a choice with the wait of an item so far and the predicted time to a place, corrected by past waits. */
    DelayScheduling.Choice after(DelayScheduling.Choice choice, WorkItem item, double predictedMs, long nowNanos) {
        double waitedMs = item.placeWait().map(wait -> wait.waitedMs(nowNanos)).orElse(0.0);
        return choice.after(waitedMs, waitModel.correctedMs(predictedMs));
    }

    /** Returns the rack of a run's server; empty if it is not listed. */
    Optional<String> rack(Run run) {
        return runRegistry
                .server(run.incarnation())
                .flatMap(TrackedServer::listing)
                .flatMap(BackendServer::rack);
    }

    /** Records the start of a run that was chosen with respect to a rack. */
    void onStarted(WorkItem item, boolean isNear, long nowNanos) {
        item.placeWait().ifPresent(wait -> {
            double waitedMs = wait.waitedMs(nowNanos);
            waitModel.add(wait.firstExpectedMs(), isNear ? waitedMs : waitedMs + wait.expectedMs());
            context.telemetry().count(CounterCode.LOCALITY_WAITS, isNear ? "near" : "vain");
            if (!isNear) {
                context.telemetry()
                        .event(EventCode.PLACE_WAIT_IN_VAIN, "item=" + item.id() + " waitedMs=" + Math.round(waitedMs));
            }
            item.setPlaceWait(Optional.empty());
        });
        StepSpec spec = item.spec();
        spec.rackOfData().ifPresent(rack -> {
            context.telemetry().count(CounterCode.LOCALITY_RUNS, isNear ? "near" : "remote");
            item.job().countRunWithData(isNear);
            if (remoteFactor.isEffective() && !spec.longRunning() && (isNear || isListed(rack))) {
                demand.add(rack, expectedMs(item) * spec.reserved().cpuMillis() / 1000.0, nowNanos);
            }
        });
        if (!isNear && remoteFactor.isEffective()) {
            item.run().ifPresent(run -> run.setExpectedSlowdown(remoteFactor.value()));
        }
    }

    /** Returns whether a listed server is on a rack; callers may name any. */
    private boolean isListed(String rack) {
        return runRegistry.servers().stream().anyMatch(server -> LocalityRound.isOn(rack, server));
    }

    /** Records that an item waits for a place near its data or group. */
    void onWait(WorkItem item, double expectedWaitMs, long nowNanos) {
        if (item.placeWait().isPresent()) {
            WorkItem.PlaceWait wait = item.placeWait().get();
            item.setPlaceWait(
                    Optional.of(new WorkItem.PlaceWait(wait.sinceNanos(), wait.firstExpectedMs(), expectedWaitMs)));
            return;
        }
        boolean isFirstOfStep = item.job().stepOf(item.id()).stream()
                .allMatch(member -> member.placeWait().isEmpty());
        item.setPlaceWait(Optional.of(new WorkItem.PlaceWait(nowNanos, expectedWaitMs, expectedWaitMs)));
        if (isFirstOfStep) {
            context.telemetry()
                    .event(
                            EventCode.PLACE_WAIT_STARTED,
                            "item=" + item.id() + " expectedMs=" + Math.round(expectedWaitMs) + " slackMs="
                                    + Math.round(slackMs(item.job())) + " factor="
                                    + Math.round(remoteFactor.value() * 100) / 100.0);
        }
    }

    /** Learns from a completed run and returns the duration that it would have had near its data, in ms. */
    double nearDurationMs(WorkItem item, double tookMs) {
        Optional<String> dataRack = item.spec().rackOfData();
        Optional<String> runRack = item.run().flatMap(this::rack);
        if (!remoteFactor.isEffective() || dataRack.isEmpty() || runRack.isEmpty()) {
            return tookMs;
        }
        boolean isRemote = !dataRack.equals(runRack);
        double factor = remoteFactor.value();
        if (item.checkpoint().isEmpty()) {
            remoteFactor.add(isRemote, expectedMs(item), tookMs);
        }
        return isRemote ? tookMs / factor : tookMs;
    }
}

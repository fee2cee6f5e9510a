package org.basilswitch.intake;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobState;
import org.basilswitch.time.Clock;

/**
 * Finds the outcome of a write without an answer, after a later attempt of the same call was rejected. The later attempt
 * decides nothing by itself, as the configuration may have changed between the two.
 */
final class WriteOutcomes {
    private final Clock clock;
    private final JobConfigurationFollower jobConfiguration;
    private final JobIntake intake;
    private final JobDirectory directory;
    private final JobStateLookup states;
    private final Telemetry telemetry;

    WriteOutcomes(
            Clock clock,
            JobConfigurationFollower jobConfiguration,
            JobIntake intake,
            JobDirectory directory,
            JobStateLookup states,
            Telemetry telemetry) {
        this.clock = clock;
        this.jobConfiguration = jobConfiguration;
        this.intake = intake;
        this.directory = directory;
        this.states = states;
        this.telemetry = telemetry;
    }

    /** Turns a refusal into an undecided answer, for calls of which an attempt may have taken effect. */
    static JobAnswer refusedToUndecided(JobAnswer answer) {
        return switch (answer) {
            case JobAnswer.Refused refused -> new JobAnswer.Undecided(refused.reason());
            case JobAnswer.Overloaded overloaded -> new JobAnswer.Undecided(overloaded.reason());
            default -> answer;
        };
    }

    /**
     * Returns the answer to a call of which an earlier attempt may have taken effect.
     *
     * @param later answer of a later attempt
     * @param deadlineNanos monotonic time by which the call has to be decided, ns
     * @param keyTrusted whether the configuration was recent enough to trust the call's key when it arrived; without
     *     that, a job that is found says nothing about this call, as it may have been stored before the key was withdrawn
     */
    CompletionStage<JobAnswer> answer(JobCall call, JobAnswer later, long deadlineNanos, boolean keyTrusted) {
        return switch (later) {
            case JobAnswer.UnknownQueue unknown -> find(call, later, deadlineNanos, keyTrusted);
            case JobAnswer.UnknownKey unknown -> find(call, later, deadlineNanos, keyTrusted);
            case JobAnswer.Invalid invalid -> find(call, later, deadlineNanos, keyTrusted);
            case JobAnswer.Refused refused -> CompletableFuture.completedFuture(refusedToUndecided(refused));
            case JobAnswer.Overloaded overloaded -> CompletableFuture.completedFuture(refusedToUndecided(overloaded));
            // These tell the outcome, or are undecided themselves.
            case JobAnswer.Accepted accepted -> CompletableFuture.completedFuture(later);
            case JobAnswer.Cancelled cancelled -> CompletableFuture.completedFuture(later);
            case JobAnswer.State state -> CompletableFuture.completedFuture(later);
            case JobAnswer.Pending pending -> CompletableFuture.completedFuture(later);
            case JobAnswer.UnknownJob unknown -> CompletableFuture.completedFuture(later);
            case JobAnswer.Undecided undecided -> CompletableFuture.completedFuture(later);
        };
    }

    private CompletionStage<JobAnswer> find(JobCall call, JobAnswer rejection, long deadlineNanos, boolean keyTrusted) {
        Optional<String> id = call.jobId();
        if (id.isEmpty()) {
            return CompletableFuture.completedFuture(undecided());
        }
        CompletionStage<JobAnswer> found = switch (call.action()) {
            case JobCall.Query query -> CompletableFuture.completedFuture(rejection);
            case JobCall.Submit submit -> findJob(call, id.get(), rejection, deadlineNanos, keyTrusted);
            case JobCall.Cancel cancel ->
                keyTrusted ? findCancellation(id.get()) : CompletableFuture.completedFuture(undecided());
        };
        return found.thenApply(answer -> {
            telemetry.event(
                    EventCode.OUTCOME_FOUND,
                    call.describe() + " rejection=" + rejection.getClass().getSimpleName() + " answer="
                            + answer.getClass().getSimpleName());
            return answer;
        });
    }

    private static JobAnswer undecided() {
        return new JobAnswer.Undecided("an earlier attempt may have taken effect");
    }

    private CompletionStage<JobAnswer> findCancellation(String id) {
        return states.find(id)
                .thenApply(
                        state -> state.filter(JobState::isFinal).isPresent() ? new JobAnswer.Cancelled() : undecided());
    }

    private CompletionStage<JobAnswer> findJob(
            JobCall call, String id, JobAnswer rejection, long deadlineNanos, boolean keyTrusted) {
        JobAnswer ifFound = keyTrusted ? new JobAnswer.Accepted() : undecided();
        long fromNanos = clock.monotonicNanos();
        return isKnown(id)
                .thenCompose(known -> known
                        ? CompletableFuture.completedFuture(ifFound)
                        : jobConfiguration
                                .refresh()
                                .thenCompose(done -> readJob(call, id, rejection, ifFound, fromNanos, deadlineNanos)));
    }

    private CompletionStage<Boolean> isKnown(String id) {
        return directory.contains(id)
                ? CompletableFuture.completedFuture(true)
                : states.find(id).thenApply(Optional::isPresent);
    }

    /**
     * Reads the record of a job from the store. Without a record, the rejection is final if the configuration read since
     * no longer admits the call: the write compares the revision of the one that did, and can't take effect any more.
     */
    private CompletionStage<JobAnswer> readJob(
            JobCall call, String id, JobAnswer rejection, JobAnswer ifFound, long fromNanos, long deadlineNanos) {
        boolean rejected = jobConfiguration
                .snapshot()
                .filter(snapshot -> snapshot.confirmedNanos() >= fromNanos)
                .filter(snapshot ->
                        !Admission.of(call, snapshot.configuration()).isGranted())
                .isPresent();
        Duration remaining = Duration.ofNanos(Math.max(0, deadlineNanos - clock.monotonicNanos()));
        return intake.find(id, remaining, true)
                .thenApply(result -> result.fold(error -> undecided(), entry -> {
                    if (entry.isPresent()) {
                        return ifFound;
                    }
                    return rejected ? rejection : undecided();
                }));
    }
}

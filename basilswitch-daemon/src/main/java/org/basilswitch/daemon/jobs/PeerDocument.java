package org.basilswitch.daemon.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.job.JobState;
import org.basilswitch.job.Recurrence;
import org.basilswitch.job.StepSpec;

/** Messages between entry hosts, as they are encoded. */
final class PeerDocument {
    private PeerDocument() {}

    /** State of a job; null when it is not known. */
    record State(JobState state) {}

    /** Number of pending jobs; negative when this host does not hold the duty. */
    record Pending(long jobs) {}

    /** What a handed-over call asks for. */
    enum Action {
        SUBMIT,
        QUERY,
        CANCEL
    }

    /**
     * A caller's call that another entry host is to answer.
     *
     * @param key key of the caller; null for none
     * @param timeoutMs time for which the caller waits, ms
     * @param spec text of a job that is handed in; null for other calls
     * @param steps its steps; null for other calls
     * @param recurrence its occurrences; null when it runs once
     */
    record Call(
            String host,
            String path,
            String key,
            long timeoutMs,
            Action action,
            String spec,
            List<StepSpec> steps,
            Recurrence recurrence) {

        static Call of(JobCall call) {
            String key = call.key().orElse(null);
            long timeoutMs = call.timeout().toMillis();
            return switch (call.action()) {
                case JobCall.Submit submit ->
                    new Call(
                            call.host(),
                            call.path(),
                            key,
                            timeoutMs,
                            Action.SUBMIT,
                            submit.spec(),
                            submit.steps(),
                            submit.recurrence().orElse(null));
                case JobCall.Query query ->
                    new Call(call.host(), call.path(), key, timeoutMs, Action.QUERY, null, null, null);
                case JobCall.Cancel cancel ->
                    new Call(call.host(), call.path(), key, timeoutMs, Action.CANCEL, null, null, null);
            };
        }

        JobCall toCall() {
            JobCall.Action requestedAction = switch (action) {
                case SUBMIT -> new JobCall.Submit(spec, steps, Optional.ofNullable(recurrence));
                case QUERY -> new JobCall.Query();
                case CANCEL -> new JobCall.Cancel();
            };
            return new JobCall(host, path, Optional.ofNullable(key), Duration.ofMillis(timeoutMs), requestedAction);
        }
    }

    /** Kinds of answers. */
    enum Kind {
        ACCEPTED,
        CANCELLED,
        STATE,
        PENDING,
        UNKNOWN_QUEUE,
        UNKNOWN_KEY,
        UNKNOWN_JOB,
        INVALID,
        REFUSED,
        UNDECIDED
    }

    /**
     * The answer to a call.
     *
     * @param state state of a job; null for other answers
     * @param jobs number of pending jobs; 0 for other answers
     * @param reason reason of a refusal; null for other answers
     * @param retryAfterMs time to come back after a refusal, ms
     */
    record Answer(Kind kind, JobState state, long jobs, String reason, long retryAfterMs) {

        static Answer of(JobAnswer answer) {
            return switch (answer) {
                case JobAnswer.Accepted accepted -> ofKind(Kind.ACCEPTED);
                case JobAnswer.Cancelled cancelled -> ofKind(Kind.CANCELLED);
                case JobAnswer.State state -> new Answer(Kind.STATE, state.state(), 0, null, 0);
                case JobAnswer.Pending pending -> new Answer(Kind.PENDING, null, pending.jobs(), null, 0);
                case JobAnswer.UnknownQueue unknown -> ofKind(Kind.UNKNOWN_QUEUE);
                case JobAnswer.UnknownKey unknown -> ofKind(Kind.UNKNOWN_KEY);
                case JobAnswer.UnknownJob unknown -> ofKind(Kind.UNKNOWN_JOB);
                case JobAnswer.Invalid invalid -> new Answer(Kind.INVALID, null, 0, invalid.reason(), 0);
                case JobAnswer.Refused refused ->
                    new Answer(
                            Kind.REFUSED,
                            null,
                            0,
                            refused.reason(),
                            refused.retryAfter().toMillis());
                case JobAnswer.Undecided undecided -> new Answer(Kind.UNDECIDED, null, 0, undecided.reason(), 0);
            };
        }

        private static Answer ofKind(Kind kind) {
            return new Answer(kind, null, 0, null, 0);
        }

        JobAnswer toAnswer() {
            return switch (kind) {
                case ACCEPTED -> new JobAnswer.Accepted();
                case CANCELLED -> new JobAnswer.Cancelled();
                case STATE -> new JobAnswer.State(state);
                case PENDING -> new JobAnswer.Pending(jobs);
                case UNKNOWN_QUEUE -> new JobAnswer.UnknownQueue();
                case UNKNOWN_KEY -> new JobAnswer.UnknownKey();
                case UNKNOWN_JOB -> new JobAnswer.UnknownJob();
                case INVALID -> new JobAnswer.Invalid(reason);
                case REFUSED -> new JobAnswer.Refused(reason, Duration.ofMillis(retryAfterMs));
                case UNDECIDED -> new JobAnswer.Undecided(reason);
            };
        }
    }
}

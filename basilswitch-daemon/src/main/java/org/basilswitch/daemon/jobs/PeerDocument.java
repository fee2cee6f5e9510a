package org.basilswitch.daemon.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.intake.ForwardedAnswer;
import org.basilswitch.intake.JobAnswer;
import org.basilswitch.intake.JobCall;
import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.job.Recurrence;
import org.basilswitch.job.StepSpec;
import org.basilswitch.overload.ReturningJob;

/** JSON messages between entry hosts about jobs. */
final class PeerDocument {
    /** Keeps times within the range of durations in nanoseconds, ms. */
    private static final long MAX_TIME_MS = 86_400_000;

    private PeerDocument() {}

    /** The state of a job; null when the job is unknown. */
    record State(JobState state) {}

    /** The number of pending jobs; negative when the responding host is not the scheduler leader. */
    record Pending(long jobs) {}

    /**
     * A job that another host has stored.
     *
     * @param submission the job
     * @param revision revision of the job's record
     * @param returningJobs jobs that the host has turned away, or may have stored; null from a host of an older version
     */
    record Accepted(JobSubmission submission, long revision, List<ReturningJob> returningJobs) {

        /** Throws {@link IllegalArgumentException} when the job or its revision is missing. */
        Accepted {
            if (submission == null || revision <= 0) {
                throw new IllegalArgumentException("accepted job without a required field");
            }
            returningJobs = returningJobs == null ? List.of() : List.copyOf(returningJobs);
        }
    }

    /**
     * Jobs that another host has turned away, or may have stored.
     *
     * @param jobs the jobs
     */
    record Returning(List<ReturningJob> jobs) {

        /** Throws {@link IllegalArgumentException} when the jobs are missing. */
        Returning {
            if (jobs == null) {
                throw new IllegalArgumentException("message without a required field");
            }
            jobs = List.copyOf(jobs);
        }
    }

    /** Actions of a forwarded call. */
    enum Action {
        SUBMIT,
        QUERY,
        CANCEL
    }

    /**
     * A caller's call, forwarded to the scheduler leader.
     *
     * @param host host name that the caller addressed
     * @param path path that the caller addressed
     * @param key API key of the caller; null for none
     * @param timeoutMs time that the caller waits for the answer, in milliseconds
     * @param action requested action
     * @param spec specification text of a submitted job; null for other actions
     * @param steps steps of a submitted job; null for other actions
     * @param recurrence recurrence of a submitted job; null when it runs once
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

        /** Throws {@link IllegalArgumentException} when a field is missing that the action requires. */
        Call {
            steps = steps == null ? null : List.copyOf(steps);
            boolean complete = host != null
                    && path != null
                    && action != null
                    && (action != Action.SUBMIT || spec != null && steps != null);
            if (!complete || Math.abs((double) timeoutMs) > MAX_TIME_MS) {
                throw new IllegalArgumentException("call without a required field");
            }
        }

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

    /** Kinds of answers to a call, one for each subtype of {@link JobAnswer}. */
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
     * @param kind kind of the answer
     * @param state state of a job; null for other answers
     * @param jobs number of pending jobs; 0 for other answers
     * @param reason reason when invalid, refused or undecided; null for other answers
     * @param retryAfterMs time after which to retry a refused call, in milliseconds; 0 for other answers
     */
    record Answer(Kind kind, JobState state, long jobs, String reason, long retryAfterMs) {

        /** Throws {@link IllegalArgumentException} when a field is missing that the kind requires. */
        Answer {
            boolean complete = switch (kind) {
                case STATE -> state != null;
                case INVALID, REFUSED, UNDECIDED -> reason != null;
                default -> true;
            };
            if (!complete || retryAfterMs < 0 || retryAfterMs > MAX_TIME_MS) {
                throw new IllegalArgumentException("answer without a required field");
            }
        }

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
                case JobAnswer.Overloaded overloaded ->
                    new Answer(
                            Kind.REFUSED,
                            null,
                            0,
                            overloaded.reason(),
                            overloaded.retryAfter().toMillis());
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

    /**
     * Answer to a forwarded call with the leader's configuration.
     *
     * @param answer answer to the caller
     * @param configurationRevision revision of the newest configuration that the leader may have decided by
     */
    record Forwarded(Answer answer, long configurationRevision) {

        /** Throws {@link IllegalArgumentException} when the answer is missing. */
        Forwarded {
            if (answer == null) {
                throw new IllegalArgumentException("forwarded call without an answer");
            }
        }

        static Forwarded of(ForwardedAnswer forwarded) {
            return new Forwarded(Answer.of(forwarded.answer()), forwarded.configurationRevision());
        }

        ForwardedAnswer toAnswer() {
            return new ForwardedAnswer(answer.toAnswer(), configurationRevision);
        }
    }
}

package org.basilswitch.intake;

import java.time.Duration;

import org.basilswitch.job.JobState;

/** The answer to a {@link JobCall}. */
public sealed interface JobAnswer {

    /** The job is stored and will be scheduled. */
    record Accepted() implements JobAnswer {}

    /** The job is cancelled, or had already reached a final state. */
    record Cancelled() implements JobAnswer {}

    /** The state of a job. */
    record State(JobState state) implements JobAnswer {}

    /** The number of jobs in a queue with no work item started yet. */
    record Pending(long jobs) implements JobAnswer {}

    /** No queue matches the call's host name and path. */
    record UnknownQueue() implements JobAnswer {}

    /** The key is missing or belongs to no team. */
    record UnknownKey() implements JobAnswer {}

    /** No job with this identifier is stored. */
    record UnknownJob() implements JobAnswer {}

    /** The call is malformed. */
    record Invalid(String reason) implements JobAnswer {}

    /** Nothing was stored; the caller may retry after the given time. */
    record Refused(String reason, Duration retryAfter) implements JobAnswer {}

    /** Nothing was stored, as the job could not end while it is of use to its caller. */
    record Overloaded(String reason, Duration retryAfter) implements JobAnswer {}

    /** The outcome of the write is unknown; the caller has to retry with the same identifier. */
    record Undecided(String reason) implements JobAnswer {}
}

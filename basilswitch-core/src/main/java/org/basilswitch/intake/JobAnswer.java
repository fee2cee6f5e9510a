package org.basilswitch.intake;

import java.time.Duration;

import org.basilswitch.job.JobState;

/** The answer to a caller's call. */
public sealed interface JobAnswer {

    /** The job is stored. */
    record Accepted() implements JobAnswer {}

    /** The job is cancelled, or has ended before. */
    record Cancelled() implements JobAnswer {}

    /** State of a job. */
    record State(JobState state) implements JobAnswer {}

    /** Number of a queue's jobs of which no work item has been started. */
    record Pending(long jobs) implements JobAnswer {}

    /** There is no such queue. */
    record UnknownQueue() implements JobAnswer {}

    /** The key is missing or speaks for no team. */
    record UnknownKey() implements JobAnswer {}

    /** There is no such job. */
    record UnknownJob() implements JobAnswer {}

    /** The call's content is not valid. */
    record Invalid(String reason) implements JobAnswer {}

    /** Nothing was done; the caller may come back after some time. */
    record Refused(String reason, Duration retryAfter) implements JobAnswer {}

    /** It is not known whether the job is stored; the caller has to ask again with the same identifier. */
    record Undecided(String reason) implements JobAnswer {}
}

package org.basilswitch.intake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.job.Recurrence;
import org.basilswitch.job.StepSpec;

/**
 * A caller's request to submit, query or cancel a job.
 *
 * @param host host name that the caller addressed
 * @param path path of the request; it begins with the path prefix of a queue
 * @param key API key, if the caller sent one
 * @param timeout time that the caller waits for an answer
 * @param action requested operation
 */
public record JobCall(String host, String path, Optional<String> key, Duration timeout, Action action) {

    /** A requested operation. */
    public sealed interface Action {}

    /** Submits a job. */
    public record Submit(String spec, List<StepSpec> steps, Optional<Recurrence> recurrence) implements Action {}

    /** Queries the state of a job, or the number of pending jobs when the path contains no job identifier. */
    public record Query() implements Action {}

    /** Requests the cancellation of a job. */
    public record Cancel() implements Action {}
}

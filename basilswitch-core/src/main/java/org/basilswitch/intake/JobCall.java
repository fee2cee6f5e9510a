package org.basilswitch.intake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.job.Recurrence;
import org.basilswitch.job.StepSpec;

/**
 * A caller's call.
 *
 * @param host host name that was addressed
 * @param path path, with which a queue's prefix begins
 * @param key key of the caller, if it sent one
 * @param timeout time for which the caller waits for an answer
 * @param action what is asked for
 */
public record JobCall(String host, String path, Optional<String> key, Duration timeout, Action action) {

    /** What a caller asks for. */
    public sealed interface Action {}

    /** Hands in a job. */
    public record Submit(String spec, List<StepSpec> steps, Optional<Recurrence> recurrence) implements Action {}

    /** Asks for the state of a job, or for the number of pending jobs when the path names no job. */
    public record Query() implements Action {}

    /** Cancels a job. */
    public record Cancel() implements Action {}
}

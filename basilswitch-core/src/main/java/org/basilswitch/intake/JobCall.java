package org.basilswitch.intake;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

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

    private static final int JOB_ID_LENGTH = 16;

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{" + JOB_ID_LENGTH + "}");

    /** Returns whether a text has the form of a job identifier. */
    static boolean isJobId(String text) {
        return JOB_ID.matcher(text).matches();
    }

    /** Returns the job identifier that ends the path, whichever queue the path names; empty when it ends otherwise. */
    Optional<String> jobId() {
        int start = Math.max(0, path.length() - JOB_ID_LENGTH);
        return Optional.of(path.substring(start)).filter(JobCall::isJobId);
    }

    /** Returns a description for logs. */
    String describe() {
        String name = switch (action) {
            case Query query -> "query";
            case Submit submit -> "submit";
            case Cancel cancel -> "cancel";
        };
        return name + " path=" + path;
    }

    /** A requested operation. */
    public sealed interface Action {}

    /** Submits a job. */
    public record Submit(String spec, List<StepSpec> steps, Optional<Recurrence> recurrence) implements Action {}

    /** Queries the state of a job, or the number of pending jobs when the path contains no job identifier. */
    public record Query() implements Action {}

    /** Requests the cancellation of a job. */
    public record Cancel() implements Action {}
}

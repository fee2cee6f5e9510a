package org.basilswitch.intake;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;

/**
 * Messages to the entry host that holds the scheduler duty. They save time only: whatever gets lost is learned from the
 * store. Every stage completes normally, on the event loop, within a short timeout.
 */
public interface SchedulerClient {

    /**
     * Has the holder answer a caller's call, for a host that the store turns away; empty when it did not answer in time,
     * so that it may have carried the call out.
     */
    CompletionStage<Optional<JobAnswer>> forward(String leader, JobCall call);

    /** Asks for the state of a job; empty when the holder does not know it or did not answer. */
    CompletionStage<Optional<JobState>> queryState(String leader, String id);

    /** Asks for the number of a queue's jobs of which no work item has been started. */
    CompletionStage<Optional<Long>> queryPendingJobs(String leader, String queue);

    /** Tells that a job is stored. */
    void notifyAccepted(String leader, JobSubmission submission);

    /** Tells that a cancellation is stored. */
    void notifyCancelled(String leader, String id);
}

package org.basilswitch.intake;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.basilswitch.job.JobState;
import org.basilswitch.job.JobSubmission;
import org.basilswitch.overload.Outlook;
import org.basilswitch.overload.ReturningJob;

/**
 * Sends messages to the entry host that is the scheduler's leader.
 *
 * <p>The messages only reduce latency: the leader learns from the store about whatever a lost message reported. Every
 * returned stage completes normally, on the event loop, within a short timeout.
 */
public interface SchedulerClient {

    /**
     * Forwards a call to the leader, for a host that the store refuses. The result is empty when the leader did not
     * answer in time; it may have carried out the call.
     */
    CompletionStage<Optional<ForwardedAnswer>> forward(String leader, JobCall call);

    /** Queries the state of a job; empty when the leader does not have the job or did not answer. */
    CompletionStage<Optional<JobState>> queryState(String leader, String id);

    /** Queries the number of jobs in a queue with no work item started yet; empty when the leader did not answer. */
    CompletionStage<Optional<Long>> queryPendingJobs(String leader, String queue);

    /**
     * Asks an entry host whether the store answers it and still names a leadership.
     *
     * @return whether it has read the leadership record with this fencing token just now
     */
    CompletionStage<Boolean> canTakeOver(String host, long fencingToken);

    /** Asks an entry host to take over the leadership with this fencing token, after this host has stopped acting. */
    void handOver(String host, long fencingToken);

    /**
     * Notifies the leader that a job is stored under a revision.
     *
     * @param returningJobs jobs that this host has turned away, or may have stored, since the last message
     * @return the leader's outlook for new jobs; empty when it did not answer, has none or is of an older version
     */
    CompletionStage<Optional<Outlook>> notifyAccepted(
            String leader, JobSubmission submission, long revision, List<ReturningJob> returningJobs);

    /**
     * Tells the leader which jobs this host has turned away or may have stored, and asks for its outlook.
     *
     * @return the leader's outlook for new jobs; empty when it did not answer, has none or is of an older version
     */
    CompletionStage<Optional<Outlook>> exchangeOutlook(String leader, List<ReturningJob> returningJobs);

    /** Notifies the leader that a cancellation is stored. */
    void notifyCancelled(String leader, String id);
}

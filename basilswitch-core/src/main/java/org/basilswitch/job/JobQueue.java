package org.basilswitch.job;

import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A queue that callers submit jobs to, with the limits that apply to its jobs.
 *
 * @param name name of the queue
 * @param host host name that callers address
 * @param pathPrefix prefix of the paths that belong to the queue; a job identifier follows it
 * @param pool pool that runs the work items
 * @param timeoutMs longest time to answer a call, ms
 * @param targetMs time that a job may take in addition to its work, ms
 * @param priority priority of the jobs; 0 is the highest
 * @param maxAttempts number of failed runs of one work item after which its job fails
 * @param stretchFactor time that a job may take, as a multiple of the duration of its critical path
 * @param open whether calls are accepted without an API key
 * @param adviceTimes times of the advice service, if a step may run only on servers that it allows; null otherwise
 */
public record JobQueue(
        String name,
        String host,
        String pathPrefix,
        String pool,
        long timeoutMs,
        long targetMs,
        int priority,
        int maxAttempts,
        double stretchFactor,
        boolean open,
        AdviceTimes adviceTimes) {

    /** Returns the times of the advice service; empty if the queue's steps may run on any server. */
    @JsonIgnore
    public Optional<AdviceTimes> advice() {
        return Optional.ofNullable(adviceTimes);
    }

    /** Returns the queue of the host with the longest prefix of the path; empty when no queue matches. */
    public static Optional<JobQueue> findByPath(Iterable<JobQueue> queues, String host, String path) {
        JobQueue best = null;
        for (JobQueue queue : queues) {
            if (queue.host.equalsIgnoreCase(host)
                    && path.startsWith(queue.pathPrefix)
                    && (best == null || queue.pathPrefix.length() > best.pathPrefix.length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}

package org.basilswitch.job;

import java.util.Optional;

/**
 * Where callers send jobs of one kind.
 *
 * @param name name
 * @param host host name that callers address
 * @param pathPrefix beginning of the paths that belong to the queue
 * @param pool pool that runs the work items
 * @param timeoutMs longest time to answer a call, ms
 * @param targetMs time that a job may take besides its work, ms
 * @param priority 0 comes first
 * @param maxAttempts failed runs of a work item after which its job has failed
 * @param stretchFactor multiple of its longest chain of work that a job may take
 * @param open whether calls need no key
 * @param adviceRequired whether only the servers that the advice service allows may run a step
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
        boolean adviceRequired) {

    /** The queue of a call: the longest prefix that its path begins with, among the queues of its host. */
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

package org.basilswitch.daemon.jobs;

import org.basilswitch.job.JobState;

/** Answers of the holder of the scheduler duty. */
final class PeerDocument {
    private PeerDocument() {}

    /** State of a job; null when it is not known. */
    record State(JobState state) {}

    /** Number of pending jobs; negative when this host does not hold the duty. */
    record Pending(long jobs) {}
}

package org.basilswitch.job;

/** What a caller is told of a job. */
public enum JobState {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED;

    /** Whether the state is the last one. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}

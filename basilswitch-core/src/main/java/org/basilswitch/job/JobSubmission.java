package org.basilswitch.job;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A job as it was accepted; the record in the store.
 *
 * @param id identifier that the caller chose
 * @param queue queue
 * @param team team that the job counts for; empty on a queue without keys
 * @param spec text that is passed on to the backend servers
 * @param steps steps
 * @param recurrence occurrences; null for a job that runs once
 * @param acceptedMs time of the acceptance, Unix milliseconds
 */
public record JobSubmission(
        String id,
        String queue,
        String team,
        String spec,
        List<StepSpec> steps,
        Recurrence recurrence,
        long acceptedMs) {

    /** Copies the list. */
    public JobSubmission {
        steps = List.copyOf(steps);
    }

    /** Number of times that the steps run. */
    @JsonIgnore
    public int occurrences() {
        return recurrence == null ? 1 : recurrence.count();
    }

    /** Whether a step runs until the job is cancelled. */
    @JsonIgnore
    public boolean isLongRunning() {
        return steps.stream().anyMatch(StepSpec::longRunning);
    }
}

package org.basilswitch.job;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * An accepted job; stored as a record under the job's key.
 *
 * @param id identifier that the caller chose
 * @param queue name of the queue
 * @param team name of the team that the job is accounted to; empty on an open queue without a valid key
 * @param spec text that is passed unchanged to the backend servers
 * @param steps steps of the job, referred to by their position from 0
 * @param recurrence schedule of the occurrences; null for a job that runs once
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

    /** Makes a defensive copy of the steps. */
    public JobSubmission {
        steps = List.copyOf(steps);
    }

    /** Returns the number of times that the steps run. */
    @JsonIgnore
    public int occurrences() {
        return recurrence == null ? 1 : recurrence.count();
    }

    /** Returns whether any step runs until the job is cancelled. */
    @JsonIgnore
    public boolean isLongRunning() {
        return steps.stream().anyMatch(StepSpec::longRunning);
    }
}

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

    /**
     * Makes a defensive copy of the steps. Throws {@link IllegalArgumentException} when the scheduler could not run the
     * job; records of the store and messages of peers are not decoded then.
     */
    public JobSubmission {
        steps = List.copyOf(steps);
        // The parts of a work item's identifier are separated by dots.
        boolean named = id != null && !id.isEmpty() && !id.contains(".") && queue != null && team != null;
        if (!named || spec == null || !dependOnEarlierSteps(steps)) {
            throw new IllegalArgumentException("job " + id + " of queue " + queue);
        }
    }

    private static boolean dependOnEarlierSteps(List<StepSpec> steps) {
        for (int i = 0; i < steps.size(); i++) {
            for (int earlier : steps.get(i).after()) {
                if (earlier < 0 || earlier >= i) {
                    return false;
                }
            }
        }
        return true;
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

package org.basilswitch.job;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One step of a job: work items that ask for the same.
 *
 * @param count number of work items
 * @param resources what each work item occupies
 * @param estimateMs rough duration of a work item, ms
 * @param after numbers of the steps that have to be done before
 * @param checkpointing whether a work item can resume from a checkpoint
 * @param gang whether the work items run only together
 * @param tightlyCoupled whether the work items are slower when spread over several racks
 * @param requiredLabel label that the backend server must have; null when any will do
 * @param dataRack rack on which the data lies; null when it lies nowhere in particular
 * @param maxPerServer most work items of the step on one backend server; 0 for no bound
 * @param speculative whether copies of a work item may run at the same time
 * @param longRunning whether the work items run until the job is cancelled
 * @param image what the work items run; null when not told
 * @param tailTargetMs bound of the response time tail of a serving work item, ms; 0 when it serves nobody
 * @param usesSpareCapacity whether the processor time is taken from what other work items leave
 * @param maxUnavailable most work items of a long-running step that orders may make unavailable at once; negative for
 *     no bound
 */
public record StepSpec(
        int count,
        Resources resources,
        long estimateMs,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean tightlyCoupled,
        String requiredLabel,
        String dataRack,
        int maxPerServer,
        boolean speculative,
        boolean longRunning,
        String image,
        long tailTargetMs,
        boolean usesSpareCapacity,
        int maxUnavailable) {

    /** Copies the list. */
    public StepSpec {
        after = List.copyOf(after);
    }

    /** What a work item takes from the capacity of its backend server. */
    @JsonIgnore
    public Resources reserved() {
        return usesSpareCapacity ? new Resources(0, resources.memoryMb(), resources.gpus()) : resources;
    }

    /** Whether its work items serve users of their own, within a response time target. */
    @JsonIgnore
    public boolean isServing() {
        return tailTargetMs > 0;
    }

    /** The label that is required, if any. */
    @JsonIgnore
    public Optional<String> label() {
        return Optional.ofNullable(requiredLabel);
    }

    /** The rack of the data, if any. */
    @JsonIgnore
    public Optional<String> rackOfData() {
        return Optional.ofNullable(dataRack);
    }

    /** A short description for logs. */
    public String summary() {
        return count + "x" + resources.cpuMillis() + "m/" + resources.memoryMb() + "MB~" + estimateMs + "ms"
                + (after.isEmpty() ? "" : " after=" + after)
                + (checkpointing ? " checkpointing" : "")
                + (gang ? " gang" : "")
                + (maxPerServer > 0 ? " perServer=" + maxPerServer : "")
                + (speculative ? " speculative" : "")
                + (longRunning ? " longRunning unavailable=" + maxUnavailable : "")
                + (tailTargetMs > 0 ? " tail=" + tailTargetMs + "ms" : "")
                + (usesSpareCapacity ? " spare" : "")
                + (image == null ? "" : " image=" + image);
    }
}

package org.basilswitch.job;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * One step of a job: a number of work items with the same requirements.
 *
 * @param count number of work items
 * @param resources resources that each work item uses
 * @param estimateMs estimated duration of a work item, ms
 * @param after numbers of the steps that have to complete before this one starts
 * @param checkpointing whether a work item can resume from a checkpoint
 * @param gang whether all work items have to run at the same time (gang scheduling)
 * @param tightlyCoupled whether the work items run more slowly when they are spread over several racks
 * @param requiredLabel label that the backend server must have; null for any server
 * @param dataRack rack that stores the input data; null when the step has no data locality
 * @param maxPerServer maximum number of work items of the step on one backend server; 0 for no limit
 * @param speculative whether several runs of a work item may execute at the same time
 * @param longRunning whether the work items run until the job is cancelled
 * @param image image that the work items run; null when not specified
 * @param tailTargetMs tail latency target of work items that serve requests, ms; 0 when they serve none
 * @param usesSpareCapacity whether the work items use only processor time that other work items leave unused
 * @param maxUnavailable maximum number of work items of a long-running step that maintenance and moves may make
 *     unavailable at once; negative for no limit
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

    private static final int MAX_COUNT = 10_000;
    private static final long MAX_AMOUNT = 1L << 42;

    /**
     * Makes a defensive copy of the list of preceding steps. Throws {@link IllegalArgumentException} when the scheduler
     * could not place the work items; records of the store and messages of peers are not decoded then.
     */
    public StepSpec {
        after = List.copyOf(after);
        boolean placeable = resources != null
                && isAmount(resources.cpuMillis())
                && isAmount(resources.memoryMb())
                && isAmount(resources.gpus())
                && isAmount(estimateMs)
                && isAmount(tailTargetMs);
        if (!placeable || count < 1 || count > MAX_COUNT || maxPerServer < 0) {
            throw new IllegalArgumentException(
                    "step with count " + count + ", resources " + resources + ", estimate " + estimateMs + " ms");
        }
    }

    /** Creates a step whose work items run independently of each other, on any server. */
    public static StepSpec of(int count, Resources resources, long estimateMs, List<Integer> after) {
        return new StepSpec(
                count,
                resources,
                estimateMs,
                after,
                false,
                false,
                false,
                null,
                null,
                0,
                false,
                false,
                null,
                0,
                false,
                0);
    }

    private static boolean isAmount(long value) {
        return value >= 0 && value <= MAX_AMOUNT;
    }

    /** Returns the resources reserved on a backend server for a work item; no processor time on spare capacity. */
    @JsonIgnore
    public Resources reserved() {
        return usesSpareCapacity ? new Resources(0, resources.memoryMb(), resources.gpus()) : resources;
    }

    /** Returns whether the work items serve requests with a tail latency target. */
    @JsonIgnore
    public boolean isServing() {
        return tailTargetMs > 0;
    }

    /** Returns the required label, if any. */
    @JsonIgnore
    public Optional<String> label() {
        return Optional.ofNullable(requiredLabel);
    }

    /** Returns the rack that stores the input data, if any. */
    @JsonIgnore
    public Optional<String> rackOfData() {
        return Optional.ofNullable(dataRack);
    }

    /** Returns a short description for log events. */
    public String summary() {
        return count + "x" + resources.cpuMillis() + "m/" + resources.memoryMb() + "MB~" + estimateMs + "ms"
                + (after.isEmpty() ? "" : " after=" + after)
                + (checkpointing ? " checkpointing" : "")
                + (gang ? " gang" : "")
                + (tightlyCoupled ? " coupled" : "")
                + (dataRack == null ? "" : " data=" + dataRack)
                + (maxPerServer > 0 ? " perServer=" + maxPerServer : "")
                + (speculative ? " speculative" : "")
                + (longRunning ? " longRunning unavailable=" + maxUnavailable : "")
                + (tailTargetMs > 0 ? " tail=" + tailTargetMs + "ms" : "")
                + (usesSpareCapacity ? " spare" : "")
                + (image == null ? "" : " image=" + image);
    }
}

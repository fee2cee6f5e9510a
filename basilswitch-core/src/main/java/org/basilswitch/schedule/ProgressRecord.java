package org.basilswitch.schedule;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * How far a job has come; written before a run is ordered and before an end is acknowledged.
 *
 * @param fence fencing number of the writer
 * @param sequence number of this record among the writer's records of the job
 * @param items work items that have been started at least once
 */
record ProgressRecord(long fence, long sequence, List<ItemRow> items) {

    /**
     * One work item, written as an array.
     *
     * @param occurrence occurrence
     * @param step number of the step
     * @param index number within the step
     * @param done whether it is done
     * @param lastRun highest run number that was used
     * @param failures failed runs
     * @param lastFailedRun number of the last run that was counted as failed
     * @param checkpoint latest checkpoint; empty for none
     * @param serverId server of the run that may be at work; null for none
     * @param serverBornMs start of that server's lifetime, Unix milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record ItemRow(
            int occurrence,
            int step,
            int index,
            boolean done,
            int lastRun,
            int failures,
            int lastFailedRun,
            String checkpoint,
            String serverId,
            long serverBornMs) {}
}

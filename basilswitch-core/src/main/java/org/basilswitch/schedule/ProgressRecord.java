package org.basilswitch.schedule;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.basilswitch.job.JobSubmission;

/**
 * Stored progress of a job, written before a start command is sent and before a run end is acknowledged.
 *
 * @param fence fencing token of the writer
 * @param sequence number of this record among the writer's records of the job
 * @param items work items that have been started at least once
 */
record ProgressRecord(long fence, long sequence, List<ItemRow> items) {

    /** Makes a defensive copy of the rows. */
    ProgressRecord {
        items = List.copyOf(items);
    }

    /** Returns whether each row belongs to a work item of a job. */
    boolean fits(JobSubmission submission) {
        return items.stream()
                .allMatch(row -> row.occurrence() < submission.occurrences()
                        && row.step() < submission.steps().size()
                        && row.index() < submission.steps().get(row.step()).count());
    }

    /**
     * Progress of one work item, written as a JSON array.
     *
     * @param occurrence number of the occurrence
     * @param step number of the step
     * @param index number within the step
     * @param done whether the item is done
     * @param lastRun highest run number that was used
     * @param failures number of failed runs
     * @param lastFailedRun number of the last run that was counted as failed
     * @param checkpoint latest checkpoint; empty for none
     * @param serverId server of the current run; null for none
     * @param serverBornMs start of that server's incarnation, Unix milliseconds
     * @param holdMs time for which the next leader keeps the current run if its server does not answer, ms; 0 for the
     *     usual time. Records of earlier versions do not have it.
     * @param begun whether a server is known to have begun a run. Records of earlier versions do not have it.
     * @param failedRuns numbers of the failed runs. Records of earlier versions do not have them.
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
            long serverBornMs,
            long holdMs,
            boolean begun,
            List<Integer> failedRuns) {

        /** Throws {@link IllegalArgumentException} when the row can't be that of a started work item. */
        ItemRow {
            if (occurrence < 0 || step < 0 || index < 0 || lastRun < 1 || failures < 0 || checkpoint == null) {
                throw new IllegalArgumentException("row of " + occurrence + "." + step + "." + index);
            }
            failedRuns = failedRuns == null ? List.of() : List.copyOf(failedRuns);
        }
    }
}

package org.basilswitch.overload;

import java.util.List;

import org.basilswitch.job.CriticalPath;
import org.basilswitch.job.JobQueue;
import org.basilswitch.job.StepSpec;

/**
 * What a job asks of its pool, as expected from its estimates and its queue's past runs.
 *
 * @param chainMs duration of its critical path, ms
 * @param workCoreMs processor time of all work items, core-milliseconds
 * @param workPerValue work per value, core-milliseconds
 * @param widestItemCores cores of the work item that needs most
 * @param targetMs time from its acceptance within which it is on time, ms
 */
public record JobDemand(
        double chainMs, double workCoreMs, double workPerValue, double widestItemCores, double targetMs) {

    /** Returns the demand of a job that is submitted to a queue. */
    public static JobDemand of(List<StepSpec> steps, JobQueue queue, QueueOutlook outlook) {
        LearnedDurations durations = outlook.durations();
        double work = 0;
        double widest = 0;
        for (StepSpec step : steps) {
            double cores = step.reserved().cpuMillis() / 1000.0;
            work += cores * step.count() * durations.expectedMs(step.estimateMs());
            widest = Math.max(widest, cores);
        }
        double chain = CriticalPath.ofMs(
                steps,
                step -> StepDuration.ofItemMs(
                        durations.expectedMs(steps.get(step).estimateMs())));
        return new JobDemand(
                chain,
                work,
                work / JobValue.of(work, outlook.meanWorkCoreMs()),
                widest,
                queue.stretchFactor() * chain + queue.targetMs());
    }

    /** Returns the time that the job may wait and still end on time, in ms. */
    double slackMs() {
        return Math.max(0, targetMs - chainMs);
    }
}

package org.basilswitch.overload;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.basilswitch.job.JobQueue;
import org.basilswitch.job.Resources;
import org.basilswitch.job.StepSpec;

/** A pool of 100 cores whose jobs take a second and are on time within 2.3 s. */
final class OverloadLoads {
    static final String POOL = "pool";
    static final JobQueue QUEUE = new JobQueue("queue", "host", "/q/", POOL, 3000, 600, 0, 3, 1.4, false, null);
    static final PoolRoom BUSY = new PoolRoom(100, 0, 0);
    static final double USABLE_CORES = 85;
    static final double JOB_CORE_MS = 8000;

    private OverloadLoads() {}

    static AdmissionPolicy.Candidate job(String id, String team, long estimateMs) {
        return new AdmissionPolicy.Candidate(
                id, QUEUE, team, List.of(StepSpec.of(8, new Resources(1000, 1000, 0), estimateMs, List.of())));
    }

    static QueueOutlook queue(double favourableRatio) {
        return new QueueOutlook(new LearnedDurations(0, 1, 1000), JOB_CORE_MS, favourableRatio);
    }

    /** Returns an outlook of a pool with late jobs that take its cores for a time. */
    static Outlook backlog(PoolRoom room, double backlogMs, double favourableRatio, Set<String> aboveRate) {
        List<WaitingWork> late = List.of(new WaitingWork(JOB_CORE_MS, backlogMs * USABLE_CORES));
        List<WaitingWork> onTime = List.of(new WaitingWork(JOB_CORE_MS, 2000 * USABLE_CORES));
        List<WaitingWork> deferred = List.of(new WaitingWork(JOB_CORE_MS, 3000 * USABLE_CORES));
        return new Outlook(
                1,
                Map.of(POOL, new PoolOutlook(room, onTime, late, deferred, 0, 0)),
                Map.of(QUEUE.name(), queue(favourableRatio)),
                aboveRate,
                Set.of());
    }
}

package org.basilswitch.locality;

/**
 * Room of a pool and the work that waits for it.
 *
 * @param cores processors of the pool's usable servers
 * @param freeCores processors of them that are free
 * @param waitingJobs jobs with work items that are ready to start
 * @param waitingCores processors that these work items use
 */
public record PoolRoom(double cores, double freeCores, int waitingJobs, double waitingCores) {
    /** Greatest cost of a remote run to other jobs, relative to its cost to its own job. */
    private static final double MAX_WEIGHT = 1;

    /**
     * Returns by how much the other jobs are delayed per millisecond by which a run takes longer: each of them by the
     * run's share of the pool; 0 while the free room is enough for all of them.
     *
     * @param ownWaitingCores processors of the waiting work items of the run's own job
     * @param runCores processors that the run uses
     */
    public double weight(double ownWaitingCores, double runCores) {
        boolean allFit = waitingCores - ownWaitingCores <= freeCores;
        return allFit || cores <= 0 ? 0 : Math.min(MAX_WEIGHT, Math.max(0, waitingJobs - 1) * runCores / cores);
    }
}

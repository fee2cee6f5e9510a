package org.basilswitch.standin.worker;

/**
 * Faults that a stand-in worker injects.
 *
 * @param failEverything whether every started request fails immediately with status 500
 * @param hang whether started requests never end and never get a response
 * @param lateMs delay of each response after its execution has ended, in milliseconds
 * @param crossed whether the responses of each two requests are swapped
 * @param slowFactor multiplier of service times; 1 is normal, above 1 simulates a slow or throttled worker
 */
public record WorkerFaults(boolean failEverything, boolean hang, long lateMs, boolean crossed, double slowFactor) {

    /** Returns no faults. */
    public static WorkerFaults none() {
        return new WorkerFaults(false, false, 0, false, 1);
    }

    /** Returns whether all fields are in range. */
    public boolean valid() {
        return lateMs >= 0 && slowFactor > 0;
    }

    /** Returns these faults with every started request failing, or not. */
    public WorkerFaults withFailEverything(boolean next) {
        return new WorkerFaults(next, hang, lateMs, crossed, slowFactor);
    }

    /** Returns these faults with requests hanging, or not. */
    public WorkerFaults withHang(boolean next) {
        return new WorkerFaults(failEverything, next, lateMs, crossed, slowFactor);
    }

    /** Returns these faults with responses swapped, or not. */
    public WorkerFaults withCrossed(boolean next) {
        return new WorkerFaults(failEverything, hang, lateMs, next, slowFactor);
    }

    /** Returns these faults with another delay of responses, in milliseconds. */
    public WorkerFaults withLateMs(long next) {
        return new WorkerFaults(failEverything, hang, next, crossed, slowFactor);
    }
}

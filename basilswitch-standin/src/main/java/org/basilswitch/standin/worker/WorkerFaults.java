package org.basilswitch.standin.worker;

/**
 * What a stand-in worker is told to do wrong.
 *
 * @param failEverything whether each request that is started fails at once with status 500
 * @param hang whether requests that are started are never answered
 * @param lateMs time by which each answer is delayed after its run has ended, in milliseconds
 * @param crossed whether answers are exchanged in pairs
 * @param slowFactor factor on service times; 1 is normal, above 1 is slow or throttled
 */
public record WorkerFaults(boolean failEverything, boolean hang, long lateMs, boolean crossed, double slowFactor) {

    /** No faults. */
    public static WorkerFaults none() {
        return new WorkerFaults(false, false, 0, false, 1);
    }

    /** Whether the fields are in range. */
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

    /** Returns these faults with answers exchanged, or not. */
    public WorkerFaults withCrossed(boolean next) {
        return new WorkerFaults(failEverything, hang, lateMs, next, slowFactor);
    }

    /** Returns these faults with another delay of answers. */
    public WorkerFaults withLateMs(long next) {
        return new WorkerFaults(failEverything, hang, next, crossed, slowFactor);
    }
}

package org.basilswitch.overload;

/**
 * A job that may be submitted again and is not turned away then: it was turned away before, or an earlier submission may
 * have been stored.
 *
 * @param id identifier that its caller chose
 * @param pool pool that runs its work items
 * @param workCoreMs processor time that is kept for it, core-milliseconds; zero where it was not turned away
 * @param returnInMs time after which its caller was told to return, ms
 */
public record ReturningJob(String id, String pool, double workCoreMs, long returnInMs) {
    /** Throws {@link IllegalArgumentException} when a field is missing. */
    public ReturningJob {
        if (id == null || pool == null || !(workCoreMs >= 0) || returnInMs < 0) {
            throw new IllegalArgumentException("returning job without a required field");
        }
    }
}

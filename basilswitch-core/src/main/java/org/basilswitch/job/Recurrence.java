package org.basilswitch.job;

/**
 * The schedule of a recurring job.
 *
 * @param count number of occurrences
 * @param firstMs time of occurrence 0, Unix milliseconds
 * @param intervalMs time between two occurrences, ms
 */
public record Recurrence(int count, long firstMs, long intervalMs) {

    /** Returns the time at which an occurrence is due, Unix milliseconds. */
    public long dueMs(int occurrence) {
        return firstMs + occurrence * intervalMs;
    }
}

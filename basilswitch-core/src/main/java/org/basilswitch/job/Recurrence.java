package org.basilswitch.job;

/**
 * When the occurrences of a scheduled job are due.
 *
 * @param count number of occurrences
 * @param firstMs time of occurrence 0, Unix milliseconds
 * @param intervalMs time between two occurrences, ms
 */
public record Recurrence(int count, long firstMs, long intervalMs) {

    /** Time at which an occurrence is due, Unix milliseconds. */
    public long dueMs(int occurrence) {
        return firstMs + occurrence * intervalMs;
    }
}

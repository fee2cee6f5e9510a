package org.basilswitch.job;

/**
 * The schedule of a recurring job.
 *
 * @param count number of occurrences
 * @param firstMs time of occurrence 0, Unix milliseconds
 * @param intervalMs time between two occurrences, ms
 */
public record Recurrence(int count, long firstMs, long intervalMs) {

    private static final int MAX_COUNT = 100_000;

    /** Throws {@link IllegalArgumentException} when the number of occurrences is out of range. */
    public Recurrence {
        if (count < 1 || count > MAX_COUNT) {
            throw new IllegalArgumentException("recurrence with " + count + " occurrences");
        }
    }

    /** Returns the time at which an occurrence is due, Unix milliseconds. */
    public long dueMs(int occurrence) {
        return firstMs + occurrence * intervalMs;
    }
}

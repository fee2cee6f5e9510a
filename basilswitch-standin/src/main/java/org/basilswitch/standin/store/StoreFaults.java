package org.basilswitch.standin.store;

/**
 * Faults that the stand-in store injects and rate limits that it enforces.
 *
 * @param down whether connections are closed without a response
 * @param delayMs delay before each call takes effect, in milliseconds
 * @param lostAnswerRatio fraction of the calls whose response is dropped after they took effect, from 0 to 1
 * @param writesPerSecond allowed transactions, compactions and lease calls per second; 0 for no limit
 * @param readsPerSecond allowed range reads and watches per second; 0 for no limit
 */
public record StoreFaults(
        boolean down, long delayMs, double lostAnswerRatio, long writesPerSecond, long readsPerSecond) {
    private static final long DEFAULT_WRITES_PER_SECOND = 300;
    private static final long DEFAULT_READS_PER_SECOND = 2000;

    /** Returns no faults with the platform's usual rate limits. */
    public static StoreFaults none() {
        return new StoreFaults(false, 0, 0, DEFAULT_WRITES_PER_SECOND, DEFAULT_READS_PER_SECOND);
    }

    /** Returns whether all fields are in range. */
    public boolean valid() {
        return delayMs >= 0
                && lostAnswerRatio >= 0
                && lostAnswerRatio <= 1
                && writesPerSecond >= 0
                && readsPerSecond >= 0;
    }

    /** Returns these faults with the store down or up. */
    public StoreFaults withDown(boolean next) {
        return new StoreFaults(next, delayMs, lostAnswerRatio, writesPerSecond, readsPerSecond);
    }

    /** Returns these faults with another delay, in milliseconds. */
    public StoreFaults withDelayMs(long next) {
        return new StoreFaults(down, next, lostAnswerRatio, writesPerSecond, readsPerSecond);
    }

    /** Returns these faults with another fraction of dropped responses. */
    public StoreFaults withLostAnswerRatio(double next) {
        return new StoreFaults(down, delayMs, next, writesPerSecond, readsPerSecond);
    }

    /** Returns these faults with other rate limits, per second; 0 for no limit. */
    public StoreFaults withRates(long writes, long reads) {
        return new StoreFaults(down, delayMs, lostAnswerRatio, writes, reads);
    }
}

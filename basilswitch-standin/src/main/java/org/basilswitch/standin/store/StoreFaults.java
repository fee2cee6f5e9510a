package org.basilswitch.standin.store;

/**
 * What the stand-in store is told to do wrong, and the rates that it enforces.
 *
 * @param down whether connections are closed without an answer
 * @param delayMs time before each call takes effect, in milliseconds
 * @param lostAnswerRatio part of the calls whose answers are lost after they took effect, from 0 to 1
 * @param writesPerSecond transactions and lease calls allowed in a second; 0 for no bound
 * @param readsPerSecond reads allowed in a second; 0 for no bound
 */
public record StoreFaults(
        boolean down, long delayMs, double lostAnswerRatio, long writesPerSecond, long readsPerSecond) {
    private static final long DEFAULT_WRITES_PER_SECOND = 300;
    private static final long DEFAULT_READS_PER_SECOND = 2000;

    /** No faults, and the platform's usual rates. */
    public static StoreFaults none() {
        return new StoreFaults(false, 0, 0, DEFAULT_WRITES_PER_SECOND, DEFAULT_READS_PER_SECOND);
    }

    /** Whether the fields are in range. */
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

    /** Returns these faults with another delay. */
    public StoreFaults withDelayMs(long next) {
        return new StoreFaults(down, next, lostAnswerRatio, writesPerSecond, readsPerSecond);
    }

    /** Returns these faults with another part of lost answers. */
    public StoreFaults withLostAnswerRatio(double next) {
        return new StoreFaults(down, delayMs, next, writesPerSecond, readsPerSecond);
    }

    /** Returns these faults with other rates. */
    public StoreFaults withRates(long writes, long reads) {
        return new StoreFaults(down, delayMs, lostAnswerRatio, writes, reads);
    }
}

package org.basilswitch.dispatch;

/** Retries that a queue may still make: a fraction of its successes, so that failing pools see no retry storm. */
public final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MAX_RETRIES = 20;
    private static final double INITIAL_RETRIES = 3;

    private double availableRetries = INITIAL_RETRIES;

    private RetryBudget() {}

    /** Creates a budget that allows for a few retries before the first success. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Notes a success. */
    public void recordSuccess() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + RETRIES_PER_SUCCESS);
    }

    /** Takes one retry; returns whether there was one. */
    public boolean tryTakeRetry() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries--;
        return true;
    }
}

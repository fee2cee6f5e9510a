package org.basilswitch.dispatch;

/** Limits the retries of a queue to a fraction of its successes, which prevents retry storms in failing pools. */
public final class RetryBudget {
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MAX_RETRIES = 20;
    private static final double INITIAL_RETRIES = 3;

    private double availableRetries = INITIAL_RETRIES;

    private RetryBudget() {}

    /** Creates a budget that allows a few retries before the first success. */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    /** Adds the retries earned by one success. */
    public void recordSuccess() {
        availableRetries = Math.min(MAX_RETRIES, availableRetries + RETRIES_PER_SUCCESS);
    }

    /** Takes one retry; returns whether one was available. */
    public boolean tryTakeRetry() {
        if (availableRetries < 1) {
            return false;
        }
        availableRetries--;
        return true;
    }
}

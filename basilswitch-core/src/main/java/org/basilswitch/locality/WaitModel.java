package org.basilswitch.locality;

/** Corrects expected waits for a place by the ratio of actual to expected waits so far. */
public final class WaitModel {
    /** Sum of expected waits that the prior ratio of 1 counts as, in ms. */
    private static final double PRIOR_MS = 1000;
    /** Factor applied to the past sums at each new wait; about the last 100 waits count. */
    private static final double DECAY_PER_WAIT = 0.99;

    private double expectedSumMs = PRIOR_MS;
    private double actualSumMs = PRIOR_MS;

    private WaitModel() {}

    /** Creates a model that expects waits as they are predicted. */
    public static WaitModel create() {
        return new WaitModel();
    }

    /**
     * Adds a wait that has ended.
     *
     * @param expectedMs time to a free place as predicted when the wait began
     * @param actualMs time until the item started there; if it started elsewhere, the time until it would have
     */
    public void add(double expectedMs, double actualMs) {
        if (expectedMs >= 0 && actualMs >= 0 && Double.isFinite(actualMs)) {
            expectedSumMs = (expectedSumMs - PRIOR_MS) * DECAY_PER_WAIT + PRIOR_MS + expectedMs;
            actualSumMs = (actualSumMs - PRIOR_MS) * DECAY_PER_WAIT + PRIOR_MS + actualMs;
        }
    }

    /** Returns the expected actual wait for a predicted one; never less than the prediction. */
    public double correctedMs(double predictedMs) {
        return predictedMs * Math.max(1, actualSumMs / expectedSumMs);
    }
}

package org.basilswitch.locality;

/**
 * Estimates the factor by which runs take longer away from their data, from the configured one and measured durations.
 *
 * <p>Durations count relative to what the duration model expects, and remote ones relative to near ones, so that an
 * error of the model that both have in common does not matter.
 */
public final class RemoteFactor {
    /** Number of pairs of runs that the configured factor counts as. */
    private static final double PRIOR_RUN_COUNT = 20;
    /** Factor applied to the past sums at each new run; about the last 200 runs count. */
    private static final double DECAY_PER_RUN = 0.995;

    private final double configured;
    private final Mean near = new Mean();
    private final Mean remote = new Mean();

    /** Exponentially decayed mean of logarithms of the ratio of actual to expected duration. */
    private static final class Mean {
        private double count;
        private double sum;

        private void add(double value) {
            count = count * DECAY_PER_RUN + 1;
            sum = sum * DECAY_PER_RUN + value;
        }

        private double mean() {
            return sum / count;
        }
    }

    private RemoteFactor(double configured) {
        this.configured = configured;
    }

    /** Creates an estimate; with a configured factor of 1 or less, the place of a run is taken to make no difference. */
    public static RemoteFactor of(double configured) {
        return new RemoteFactor(configured);
    }

    /** Returns whether the place of a run makes a difference. */
    public boolean isEffective() {
        return configured > 1;
    }

    /** Adds a completed run of an item with data; durations that are not positive are ignored. */
    public void add(boolean isRemote, double expectedNearMs, double actualMs) {
        if (expectedNearMs > 0 && actualMs > 0) {
            (isRemote ? remote : near).add(Math.log(actualMs / expectedNearMs));
        }
    }

    /** Returns the estimated factor, at least 1. */
    public double value() {
        double pairs = Math.min(near.count, remote.count);
        if (!isEffective() || pairs < 1) {
            return Math.max(1, configured);
        }
        double measured = remote.mean() - near.mean();
        return Math.max(
                1, Math.exp((measured * pairs + Math.log(configured) * PRIOR_RUN_COUNT) / (pairs + PRIOR_RUN_COUNT)));
    }
}

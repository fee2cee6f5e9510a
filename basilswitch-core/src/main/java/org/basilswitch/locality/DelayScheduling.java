package org.basilswitch.locality;

/**
 * Decides whether a work item waits for a place near its data or its group, where it runs faster.
 *
 * <p>This is delay scheduling (Zaharia et al., EuroSys 2010) with a wait that follows from the expected time to a free
 * place instead of a number of skipped chances. The time that an item has waited counts against the wait that pays, so
 * that a wait whose expectation is not met ends.
 */
public final class DelayScheduling {
    /** Longest wait, in ms: nobody should find a job without any run for 3 s while servers are free. */
    private static final double MAX_WAIT_MS = 2000;

    /**
     * Choice between starting now, away from data or group, and waiting.
     *
     * @param expectedWaitMs expected time to a free place near the data or group; infinite if there will be none
     * @param durationMs expected duration near the data or group
     * @param remoteFactor factor by which a run takes longer elsewhere
     * @param roomWeight cost of the additional processor time to other jobs, see {@link PoolRoom#weight}
     * @param rackLoad fraction of the places there that other items will take if this one does not; 0 to 1
     * @param slackMs time to the latest start at which the job is still on time; negative once that has passed
     * @param waitedMs time for which the item has waited, as far as this host has seen
     */
    public record Choice(
            double expectedWaitMs,
            double durationMs,
            double remoteFactor,
            double roomWeight,
            double rackLoad,
            double slackMs,
            double waitedMs) {

        /** Returns the same choice after a wait, with another expected one. */
        public Choice after(double newWaitedMs, double newExpectedWaitMs) {
            return new Choice(newExpectedWaitMs, durationMs, remoteFactor, roomWeight, rackLoad, slackMs, newWaitedMs);
        }

        /** Returns the additional duration of a run that starts elsewhere now. */
        private double extraMs() {
            return Math.max(0, (remoteFactor - 1) * durationMs);
        }

        private boolean isOnTimeElsewhere() {
            return extraMs() <= slackMs;
        }

        /**
         * Returns the longest further wait. The slack is that of the job and goes on falling under the next leader,
         * which does not know how long the item has waited.
         */
        public double remainingMs() {
            boolean onlyNearIsOnTime = expectedWaitMs <= slackMs && !isOnTimeElsewhere();
            // In a place that another item would have taken, nothing is saved: that one runs elsewhere instead.
            double savedFraction = onlyNearIsOnTime ? 1 : 1 - rackLoad;
            double paysMs = extraMs() * (1 + roomWeight) * savedFraction - waitedMs;
            double untilEndMs = slackMs + extraMs();
            return Math.max(0, Math.min(MAX_WAIT_MS - waitedMs, Math.min(paysMs, untilEndMs)));
        }

        /** Returns whether the item waits. */
        public boolean waits() {
            double lateElsewhereMs = Math.max(0, extraMs() - slackMs);
            double lateNearMs = Math.max(0, expectedWaitMs - slackMs);
            // Without other work that waits, a remote run that ends on time costs nobody anything.
            boolean elsewhereCosts = !isOnTimeElsewhere() || roomWeight > 0;
            return elsewhereCosts && expectedWaitMs < remainingMs() && lateNearMs <= lateElsewhereMs;
        }
    }

    private DelayScheduling() {}
}

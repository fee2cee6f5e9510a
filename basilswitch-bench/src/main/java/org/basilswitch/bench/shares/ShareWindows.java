package org.basilswitch.bench.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.basilswitch.bench.workload.VirtualFleet;

/** Samples the slots that each team uses at the workers of one pool, and evaluates the samples over sliding windows. */
final class ShareWindows {
    static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);

    private final List<int[]> samples = new ArrayList<>();
    private final int teams;

    ShareWindows(int teams) {
        this.teams = teams;
    }

    /** Runs a fleet for a duration of virtual time and samples the teams' slots at each interval. */
    void run(VirtualFleet fleet, Duration duration) {
        long count = duration.dividedBy(SAMPLE_INTERVAL);
        for (long i = 0; i < count; i++) {
            fleet.run(SAMPLE_INTERVAL);
            int[] sample = new int[teams];
            for (int team = 0; team < teams; team++) {
                sample[team] = fleet.running(0, team);
            }
            samples.add(sample);
        }
    }

    /** Returns the number of samples taken so far. */
    int size() {
        return samples.size();
    }

    /** Returns a team's ratio of the used slot time over the samples from {@code from} to {@code to}, exclusive. */
    double usageRatio(int team, int from, int to) {
        double teamSlots = 0;
        double allSlots = 0;
        for (int[] sample : samples.subList(from, to)) {
            teamSlots += sample[team];
            for (int slots : sample) {
                allSlots += slots;
            }
        }
        return allSlots == 0 ? 0 : teamSlots / allSlots;
    }

    /** Returns the mean number of slots in use over the samples from {@code from} to {@code to}, exclusive. */
    double meanUsedSlots(int from, int to) {
        double allSlots = 0;
        for (int[] sample : samples.subList(from, to)) {
            for (int slots : sample) {
                allSlots += slots;
            }
        }
        return allSlots / (to - from);
    }

    /**
     * Returns the largest relative deviation from the ideal ratios over all teams and all windows that begin at or
     * after {@code start}.
     */
    double worstError(List<Double> idealRatios, Duration start, Duration window) {
        int length = (int) window.dividedBy(SAMPLE_INTERVAL);
        int step = (int) Duration.ofSeconds(1).dividedBy(SAMPLE_INTERVAL);
        double worst = 0;
        for (int from = (int) start.dividedBy(SAMPLE_INTERVAL); from + length <= samples.size(); from += step) {
            for (int team = 0; team < teams; team++) {
                double error = Math.abs(usageRatio(team, from, from + length) / idealRatios.get(team) - 1);
                worst = Math.max(worst, error);
            }
        }
        return worst;
    }

    /**
     * Returns the time from a sample until a team's ratio over half a second reaches a level, or a day when it never
     * does.
     */
    Duration timeToReach(int team, double level, int from) {
        int length = (int) Duration.ofMillis(500).dividedBy(SAMPLE_INTERVAL);
        for (int start = from; start + length <= samples.size(); start++) {
            if (usageRatio(team, start, start + length) >= level) {
                return SAMPLE_INTERVAL.multipliedBy(start - from);
            }
        }
        return Duration.ofDays(1);
    }
}

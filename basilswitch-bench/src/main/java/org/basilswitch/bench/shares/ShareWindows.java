package org.basilswitch.bench.shares;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.basilswitch.bench.workload.VirtualFleet;

/** Samples of the slots that each team has at the workers of one pool, and what they say over sliding windows. */
final class ShareWindows {
    static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);

    private final List<int[]> samples = new ArrayList<>();
    private final int teams;

    ShareWindows(int teams) {
        this.teams = teams;
    }

    /** Runs a fleet for a time while sampling. */
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

    /** Samples taken so far. */
    int size() {
        return samples.size();
    }

    /** Part of the used slot time that a team had over samples {@code from} to {@code to}. */
    double usageRatio(int team, int from, int to) {
        double own = 0;
        double all = 0;
        for (int[] sample : samples.subList(from, to)) {
            own += sample[team];
            for (int slots : sample) {
                all += slots;
            }
        }
        return all == 0 ? 0 : own / all;
    }

    /** Mean number of slots in use over samples {@code from} to {@code to}. */
    double meanUsedSlots(int from, int to) {
        double all = 0;
        for (int[] sample : samples.subList(from, to)) {
            for (int slots : sample) {
                all += slots;
            }
        }
        return all / (to - from);
    }

    /** Largest relative distance from the idealRatios parts, over all teams and windows of a length from a start on. */
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

    /** Time from a sample until a team's part over one second reaches a level, or a day when it never does. */
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

package org.basilswitch.job;

import java.util.Set;

/**
 * A team that hands in jobs.
 *
 * @param name name
 * @param keys keys that speak for the team
 * @param weight share when all is full
 * @param limit most that the team may have running; 0 in a field means no limit
 */
public record JobTeam(String name, Set<String> keys, double weight, Resources limit) {

    /** Copies the set. */
    public JobTeam {
        keys = Set.copyOf(keys);
    }

    /** Whether the team may have this amount running. */
    public boolean allows(Resources total) {
        return isWithin(total.cpuMillis(), limit.cpuMillis())
                && isWithin(total.memoryMb(), limit.memoryMb())
                && isWithin(total.gpus(), limit.gpus());
    }

    private static boolean isWithin(long amount, long bound) {
        return bound == 0 || amount <= bound;
    }
}

package org.basilswitch.job;

import java.util.Set;

/**
 * A team that submits jobs.
 *
 * @param name name of the team
 * @param keys API keys that belong to the team
 * @param weight weight of the team's share when the capacity is exhausted
 * @param limit upper limit of the resources of the team's running work; 0 in a component means no limit
 */
public record JobTeam(String name, Set<String> keys, double weight, Resources limit) {

    /** Makes a defensive copy of the keys. */
    public JobTeam {
        keys = Set.copyOf(keys);
    }

    /** Returns whether a total of running work is within the team's limit. */
    public boolean allows(Resources total) {
        return isWithin(total.cpuMillis(), limit.cpuMillis())
                && isWithin(total.memoryMb(), limit.memoryMb())
                && isWithin(total.gpus(), limit.gpus());
    }

    private static boolean isWithin(long amount, long bound) {
        return bound == 0 || amount <= bound;
    }
}

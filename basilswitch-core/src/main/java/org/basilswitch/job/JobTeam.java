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

    /**
     * Returns whether work items may start together beside the team's running work. The total has to be within the
     * limit; it may exceed the limit by a part of one work item where the start would otherwise wait indefinitely: if
     * the work items exceed the limit even on their own, or if less than half of the limit is in use.
     *
     * @param running resources of the team's running work
     * @param item resources of each work item
     * @param count number of work items that start together
     */
    public boolean allowsStart(Resources running, Resources item, int count) {
        return allowsStart(running.cpuMillis(), item.cpuMillis(), count, limit.cpuMillis())
                && allowsStart(running.memoryMb(), item.memoryMb(), count, limit.memoryMb())
                && allowsStart(running.gpus(), item.gpus(), count, limit.gpus());
    }

    private static boolean allowsStart(long running, long item, int count, long limit) {
        long total = running + item * count;
        if (isWithin(total, limit)) {
            return true;
        }
        long besideLast = total - item;
        boolean exceedsLimitAlone = item * count > limit;
        return exceedsLimitAlone ? besideLast <= limit : besideLast < limit - besideLast;
    }
}

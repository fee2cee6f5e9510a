package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Orders jobs that wait for one pool so that the most worth is done on time when there is more work than the pool can
 * do in time.
 *
 * <p>Jobs are taken by the latest time at which they have to begin. Where the work before a job lets it begin too late,
 * the job that gives the least worth for its work is put behind all that can still be on time (the algorithm of Moore,
 * 1968, with weights). Without this, earliest deadline first makes every job late by a little.
 */
public final class DeadlineOrder {

    /**
     * A job that waits or is at work.
     *
     * @param <J> the job
     * @param job the job
     * @param latestStartMs time at which the rest of its longest chain has to begin, ms
     * @param work processor time that is still to be started, core-milliseconds
     * @param worth what it earns when it is done on time
     * @param deferred whether it is to come behind all others, such as work beyond its team's share
     */
    public record Entry<J>(J job, double latestStartMs, double work, double value, boolean deferred) {}

    private DeadlineOrder() {}

    /**
     * Orders jobs.
     *
     * @param entries the jobs
     * @param nowMs time now, ms
     * @param cores processors that the pool gives them
     */
    public static <J> List<J> sorted(List<Entry<J>> entries, double nowMs, double cores) {
        List<Entry<J>> byStart = new ArrayList<>();
        List<Entry<J>> lowPriority = new ArrayList<>();
        for (Entry<J> entry : entries) {
            (entry.deferred() || entry.latestStartMs() < nowMs ? lowPriority : byStart).add(entry);
        }
        byStart.sort(Comparator.comparingDouble(Entry::latestStartMs));
        Set<Entry<J>> dropped = selectDropped(byStart, nowMs, cores);
        List<J> ordered = new ArrayList<>();
        for (Entry<J> entry : byStart) {
            if (dropped.contains(entry)) {
                lowPriority.add(entry);
            } else {
                ordered.add(entry.job());
            }
        }
        lowPriority.sort(Comparator.<Entry<J>>comparingInt(entry -> entry.deferred() ? 1 : 0)
                .thenComparingDouble(entry -> entry.work() / Math.max(1e-9, entry.value())));
        lowPriority.forEach(entry -> ordered.add(entry.job()));
        return ordered;
    }

    private static <J> Set<Entry<J>> selectDropped(List<Entry<J>> byStart, double nowMs, double cores) {
        Set<Entry<J>> dropped = new HashSet<>();
        PriorityQueue<Entry<J>> kept =
                new PriorityQueue<>(Comparator.comparingDouble(entry -> entry.value() / Math.max(1, entry.work())));
        double precedingWork = 0;
        for (Entry<J> entry : byStart) {
            kept.add(entry);
            // A job begins when the work before it has been started, not done.
            while (!kept.isEmpty() && nowMs + (precedingWork) / Math.max(1, cores) > entry.latestStartMs()) {
                Entry<J> leastValuable = kept.poll();
                dropped.add(leastValuable);
                if (leastValuable == entry) {
                    break;
                }
                precedingWork -= leastValuable.work();
            }
            if (!dropped.contains(entry)) {
                precedingWork += entry.work();
            }
        }
        return dropped;
    }
}

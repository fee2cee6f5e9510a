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
    public record Entry<J>(J job, double latestStartMs, double work, double worth, boolean deferred) {}

    private DeadlineOrder() {}

    /**
     * Orders jobs.
     *
     * @param entries the jobs
     * @param nowMs time now, ms
     * @param cores processors that the pool gives them
     */
    public static <J> List<J> of(List<Entry<J>> entries, double nowMs, double cores) {
        List<Entry<J>> byStart = new ArrayList<>();
        List<Entry<J>> behind = new ArrayList<>();
        for (Entry<J> entry : entries) {
            (entry.deferred() || entry.latestStartMs() < nowMs ? behind : byStart).add(entry);
        }
        byStart.sort(Comparator.comparingDouble(Entry::latestStartMs));
        Set<Entry<J>> dropped = drop(byStart, nowMs, cores);
        List<J> order = new ArrayList<>();
        for (Entry<J> entry : byStart) {
            if (dropped.contains(entry)) {
                behind.add(entry);
            } else {
                order.add(entry.job());
            }
        }
        behind.sort(Comparator.<Entry<J>>comparingInt(entry -> entry.deferred() ? 1 : 0)
                .thenComparingDouble(entry -> entry.work() / Math.max(1e-9, entry.worth())));
        behind.forEach(entry -> order.add(entry.job()));
        return order;
    }

    private static <J> Set<Entry<J>> drop(List<Entry<J>> byStart, double nowMs, double cores) {
        Set<Entry<J>> dropped = new HashSet<>();
        PriorityQueue<Entry<J>> kept =
                new PriorityQueue<>(Comparator.comparingDouble(entry -> entry.worth() / Math.max(1, entry.work())));
        double before = 0;
        for (Entry<J> entry : byStart) {
            kept.add(entry);
            // A job begins when the work before it has been started, not done.
            while (!kept.isEmpty() && nowMs + (before) / Math.max(1, cores) > entry.latestStartMs()) {
                Entry<J> least = kept.poll();
                dropped.add(least);
                if (least == entry) {
                    break;
                }
                before -= least.work();
            }
            if (!dropped.contains(entry)) {
                before += entry.work();
            }
        }
        return dropped;
    }
}

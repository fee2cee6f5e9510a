package org.basilswitch.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Orders the jobs of one pool so that the jobs completed on time have the highest total value when there is more work
 * than the pool can complete on time.
 *
 * <p>Jobs are ordered by the latest time at which they have to start. If the work ahead of a job delays it beyond that
 * time, the job with the least value per work is moved behind all jobs that can still be on time. This is Moore's
 * algorithm (1968) with weights. Without it, earliest deadline first makes every job slightly late under overload.
 */
public final class DeadlineOrder {

    /**
     * A job that is waiting or running.
     *
     * @param <J> type of the job
     * @param job the job
     * @param latestStartMs latest time at which the rest of the job's critical path has to start, ms
     * @param work processor time that is still to be started, core-milliseconds
     * @param value value of completing the job on time
     * @param deferred whether the job comes after all others, such as work beyond its team's share
     */
    public record Entry<J>(J job, double latestStartMs, double work, double value, boolean deferred) {
        /** Returns the work that is still to be started per value, core-milliseconds. */
        double workPerValue() {
            return work / Math.max(1e-9, value);
        }
    }

    /**
     * Jobs in the order in which they should be started.
     *
     * @param <J> type of the job
     * @param onTime jobs that can still be on time, first to last
     * @param behind jobs that come after them, first to last
     */
    public record Ordering<J>(List<Entry<J>> onTime, List<Entry<J>> behind) {
        /** Makes defensive copies. */
        public Ordering {
            onTime = List.copyOf(onTime);
            behind = List.copyOf(behind);
        }

        /** Returns all jobs, first to last. */
        public List<J> jobs() {
            return Stream.concat(onTime.stream(), behind.stream())
                    .map(Entry::job)
                    .toList();
        }
    }

    private DeadlineOrder() {}

    /**
     * Returns the jobs in the order in which they should be started.
     *
     * @param entries the jobs
     * @param nowMs current time, ms
     * @param cores processors that the pool provides for the jobs
     */
    public static <J> List<J> sorted(List<Entry<J>> entries, double nowMs, double cores) {
        return order(entries, nowMs, cores).jobs();
    }

    /**
     * Returns the order in which jobs should be started.
     *
     * @param entries the jobs
     * @param nowMs current time, ms
     * @param cores processors that the pool provides for the jobs
     */
    public static <J> Ordering<J> order(List<Entry<J>> entries, double nowMs, double cores) {
        List<Entry<J>> byStart = new ArrayList<>();
        List<Entry<J>> lowPriority = new ArrayList<>();
        for (Entry<J> entry : entries) {
            (entry.deferred() || entry.latestStartMs() < nowMs ? lowPriority : byStart).add(entry);
        }
        byStart.sort(Comparator.comparingDouble(Entry::latestStartMs));
        Set<Entry<J>> dropped = selectDropped(byStart, nowMs, cores);
        List<Entry<J>> onTime = new ArrayList<>();
        for (Entry<J> entry : byStart) {
            if (dropped.contains(entry)) {
                lowPriority.add(entry);
            } else {
                onTime.add(entry);
            }
        }
        lowPriority.sort(Comparator.<Entry<J>>comparingInt(entry -> entry.deferred() ? 1 : 0)
                .thenComparingDouble(Entry::workPerValue));
        return new Ordering<>(onTime, lowPriority);
    }

    /** Returns the jobs that are moved back so that all others can start in time. */
    private static <J> Set<Entry<J>> selectDropped(List<Entry<J>> byStart, double nowMs, double cores) {
        Set<Entry<J>> dropped = new HashSet<>();
        PriorityQueue<Entry<J>> kept =
                new PriorityQueue<>(Comparator.comparingDouble(entry -> entry.value() / Math.max(1, entry.work())));
        double precedingWork = 0;
        for (Entry<J> entry : byStart) {
            kept.add(entry);
            // A job can start once the work ahead of it has been started, not completed.
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

package org.basilswitch.time;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * A clock and scheduler whose time advances only when tasks are run, for deterministic simulations.
 *
 * <p>Tasks due at the same time run in the order in which they were scheduled.
 */
public final class SimulatedTime implements Clock, Scheduler {
    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long nextSequence;

    private SimulatedTime() {}

    /** Creates a clock at its origin, without tasks. */
    public static SimulatedTime create() {
        return new SimulatedTime();
    }

    @Override
    public Instant instant() {
        return ORIGIN.plusNanos(nowNanos);
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        Task entry = new Task(nowNanos + Math.max(0, delay.toNanos()), nextSequence++, task);
        tasks.add(entry);
        return entry;
    }

    /** Advances the clock to the next task and runs it unless it is cancelled; returns false when there is no task. */
    public boolean runNext() {
        Task task = tasks.poll();
        if (task == null) {
            return false;
        }
        nowNanos = Math.max(nowNanos, task.dueNanos);
        if (!task.cancelled) {
            task.action.run();
        }
        return true;
    }

    /** Runs all tasks that are due within a duration and advances the clock by it; returns the number of tasks. */
    public long runFor(Duration duration) {
        long endNanos = nowNanos + duration.toNanos();
        long count = 0;
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= endNanos) {
            runNext();
            count++;
        }
        nowNanos = endNanos;
        return count;
    }

    private static final class Task implements Timer, Comparable<Task> {
        private final long dueNanos;
        private final long sequence;
        private final Runnable action;
        private boolean cancelled;

        private Task(long dueNanos, long sequence, Runnable action) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.action = action;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}

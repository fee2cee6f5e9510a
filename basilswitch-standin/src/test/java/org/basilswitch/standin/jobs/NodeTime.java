package org.basilswitch.standin.jobs;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.SimulatedTime;

/**
 * The clocks and timers of one entry host on the time of the simulation.
 *
 * <p>The wall clock can be stepped. While the host is suspended its monotonic time stands still and its wall clock goes
 * on, as on Linux, and neither timers nor messages reach it. A killed host does nothing any more.
 */
final class NodeTime implements Clock, Scheduler {
    private final SimulatedTime time;
    private final Deque<Runnable> heldBack = new ArrayDeque<>();
    private Duration wallOffset = Duration.ZERO;
    private long suspendedNanos;
    private long suspendedAtNanos;
    private boolean suspended;
    private boolean killed;

    private NodeTime(SimulatedTime time) {
        this.time = time;
    }

    /** Creates clocks that agree with the time of the simulation. */
    static NodeTime on(SimulatedTime time) {
        return new NodeTime(time);
    }

    @Override
    public Instant instant() {
        return time.instant().plus(wallOffset);
    }

    @Override
    public long monotonicNanos() {
        return (suspended ? suspendedAtNanos : time.monotonicNanos()) - suspendedNanos;
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        NodeTimer timer = new NodeTimer(monotonicNanos() + Math.max(0, delay.toNanos()), task);
        time.schedule(delay, timer::fire);
        return timer;
    }

    /** Passes a message to the host: at once, at the end of its suspension, or never once it is killed. */
    void deliver(Runnable task) {
        if (suspended) {
            heldBack.add(() -> deliver(task));
        } else if (!killed) {
            task.run();
        }
    }

    /** Moves the wall clock ahead, or back by a negative step; the monotonic clock is not affected. */
    void stepWallClock(Duration step) {
        wallOffset = wallOffset.plus(step);
    }

    /** Suspends the host and resumes it after the given time. */
    void suspendFor(Duration duration) {
        if (!suspended) {
            suspended = true;
            suspendedAtNanos = time.monotonicNanos();
            time.schedule(duration, this::resume);
        }
    }

    private void resume() {
        suspended = false;
        suspendedNanos += time.monotonicNanos() - suspendedAtNanos;
        while (!heldBack.isEmpty()) {
            heldBack.poll().run();
        }
    }

    /** Ends the host's process without a shutdown, as SIGKILL does. */
    void kill() {
        killed = true;
        heldBack.clear();
    }

    boolean isKilled() {
        return killed;
    }

    private final class NodeTimer implements Timer {
        private final long dueNanos;
        private final Runnable task;
        private boolean cancelled;

        private NodeTimer(long dueNanos, Runnable task) {
            this.dueNanos = dueNanos;
            this.task = task;
        }

        private void fire() {
            if (killed || cancelled) {
                return;
            }
            if (suspended) {
                heldBack.add(this::fire);
            } else if (monotonicNanos() < dueNanos) {
                time.schedule(Duration.ofNanos(dueNanos - monotonicNanos()), this::fire);
            } else {
                task.run();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}

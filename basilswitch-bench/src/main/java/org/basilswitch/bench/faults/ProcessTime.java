package org.basilswitch.bench.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.SimulatedTime;

/**
 * Clock and event loop of one process. The monotonic clock runs at its own rate, tasks are held back while the process
 * is paused, and tasks are dropped once it is killed.
 */
final class ProcessTime implements Clock, Scheduler {
    private final SimulatedTime time;
    private final double rate;
    private final Duration wallClockOffset;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int pauses;
    private boolean killed;

    ProcessTime(SimulatedTime time, double rate, Duration wallClockOffset) {
        this.time = time;
        this.rate = rate;
        this.wallClockOffset = wallClockOffset;
    }

    @Override
    public Instant instant() {
        return time.instant().plus(wallClockOffset);
    }

    @Override
    public long monotonicNanos() {
        return (long) (time.monotonicNanos() * rate);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Timer timer = time.schedule(
                toTrueTime(delay),
                () -> deliver(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> {
            cancelled[0] = true;
            timer.cancel();
        };
    }

    /** Converts a duration of this process's clock to virtual time. */
    Duration toTrueTime(Duration local) {
        return Duration.ofNanos((long) Math.ceil(local.toNanos() / rate));
    }

    /** Runs a task on the event loop: immediately, or on resumption while the process is paused. */
    void deliver(Runnable task) {
        if (killed) {
            return;
        }
        if (pauses > 0) {
            waiting.add(task);
        } else {
            task.run();
        }
    }

    boolean running() {
        return !killed && pauses == 0;
    }

    boolean killed() {
        return killed;
    }

    void kill() {
        killed = true;
        waiting.clear();
    }

    void pause() {
        pauses++;
    }

    void resume() {
        pauses--;
        while (!waiting.isEmpty() && running()) {
            waiting.poll().run();
        }
    }
}

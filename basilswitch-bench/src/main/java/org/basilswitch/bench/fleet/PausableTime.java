package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.basilswitch.time.SimulatedTime;

/**
 * Clock and scheduler of one process: tasks are held back while the process is paused and dropped once it is killed.
 */
final class PausableTime implements Clock, Scheduler {
    private final SimulatedTime time;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    PausableTime(SimulatedTime time) {
        this.time = time;
    }

    @Override
    public Instant instant() {
        return time.instant();
    }

    @Override
    public long monotonicNanos() {
        return time.monotonicNanos();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        time.schedule(
                delay,
                () -> run(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> cancelled[0] = true;
    }

    private void run(Runnable task) {
        if (killed) {
            return;
        }
        if (paused) {
            waiting.add(task);
            return;
        }
        task.run();
    }

    void kill() {
        killed = true;
        waiting.clear();
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!waiting.isEmpty() && !paused && !killed) {
            waiting.poll().run();
        }
    }
}

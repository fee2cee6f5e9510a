package org.basilswitch.standin;

import java.time.Duration;
import java.time.Instant;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Clock and scheduler that use the system clocks and run timers on one Vert.x context. */
public final class VertxTime implements Clock, Scheduler {
    private final Vertx vertx;
    private final Context context;

    private VertxTime(Vertx vertx, Context context) {
        this.vertx = vertx;
        this.context = context;
    }

    /** Creates a scheduler whose timers run on the event loop of the given context. */
    public static VertxTime create(Vertx vertx, Context context) {
        return new VertxTime(vertx, context);
    }

    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        OneShot timer = new OneShot(task);
        if (delay.toMillis() < 1) {
            context.runOnContext(ignored -> timer.run());
        } else {
            vertx.setTimer(delay.toMillis(), ignored -> context.runOnContext(ignoredContext -> timer.run()));
        }
        return timer;
    }

    private static final class OneShot implements Timer {
        private final Runnable task;
        private boolean cancelled;

        private OneShot(Runnable task) {
            this.task = task;
        }

        private void run() {
            if (!cancelled) {
                task.run();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}

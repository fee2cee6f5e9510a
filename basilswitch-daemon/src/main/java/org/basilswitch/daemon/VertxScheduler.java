package org.basilswitch.daemon;

import java.time.Duration;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.basilswitch.time.Scheduler;

/** Schedules tasks on one event loop of Vert.x; its methods must be called on that event loop. */
public final class VertxScheduler implements Scheduler {
    private static final long NANOS_PER_MS = 1_000_000;

    private final Vertx vertx;
    private final Context context;

    private VertxScheduler(Vertx vertx, Context context) {
        this.vertx = vertx;
        this.context = context;
    }

    /** Creates a scheduler whose tasks run on a context. */
    public static VertxScheduler create(Vertx vertx, Context context) {
        return new VertxScheduler(vertx, context);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return delay.isZero() || delay.isNegative() ? scheduleImmediately(task) : scheduleDelayed(delay, task);
    }

    private Timer scheduleImmediately(Runnable task) {
        ImmediateTask turn = new ImmediateTask(task);
        context.runOnContext(turn::run);
        return turn;
    }

    private Timer scheduleDelayed(Duration delay, Runnable task) {
        long delayMs = Math.ceilDiv(delay.toNanos(), NANOS_PER_MS);
        long timerId = vertx.setTimer(delayMs, id -> task.run());
        return () -> vertx.cancelTimer(timerId);
    }

    private static final class ImmediateTask implements Timer {
        private final Runnable task;
        private boolean cancelled;

        private ImmediateTask(Runnable task) {
            this.task = task;
        }

        private void run(Void ignored) {
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

package org.basilswitch.daemon.worker;

import java.util.concurrent.TimeUnit;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vertx.core.Context;

/**
 * Time limits of attempts, nearly all of which are cancelled: a hashed timing wheel (Varghese and Lauck, 1987) costs
 * less for these than the event loop's ordered timers. A limit may be noticed late by up to two ticks.
 */
public final class TimingWheel implements AutoCloseable {
    private static final int TICK_MS = 20;

    private final Context context;
    private final HashedWheelTimer timer =
            new HashedWheelTimer(new DefaultThreadFactory("attempt-timeouts", true), TICK_MS, TimeUnit.MILLISECONDS);

    private TimingWheel(Context context) {
        this.context = context;
    }

    /** Creates time limits whose actions run on a context. */
    public static TimingWheel create(Context context) {
        return new TimingWheel(context);
    }

    Timeout schedule(long delayMs, Runnable action) {
        return timer.newTimeout(expired -> context.runOnContext(turn -> action.run()), delayMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        timer.stop();
    }
}

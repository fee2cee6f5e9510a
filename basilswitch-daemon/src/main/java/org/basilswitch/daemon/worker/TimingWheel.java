package org.basilswitch.daemon.worker;

import java.util.concurrent.TimeUnit;

import io.netty.util.HashedWheelTimer;
import io.netty.util.Timeout;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vertx.core.Context;

/**
 * Schedules the timeouts of attempts on a hashed timing wheel (Varghese and Lauck, 1987).
 *
 * <p>Nearly all of these timeouts are cancelled, which costs less on a wheel than with the event loop's ordered timers.
 * A timeout may fire up to two ticks late.
 */
public final class TimingWheel implements AutoCloseable {
    private static final int TICK_MS = 20;

    private final Context context;
    private final HashedWheelTimer timer =
            new HashedWheelTimer(new DefaultThreadFactory("attempt-timeouts", true), TICK_MS, TimeUnit.MILLISECONDS);

    private TimingWheel(Context context) {
        this.context = context;
    }

    /** Creates a wheel whose actions run on a context. */
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

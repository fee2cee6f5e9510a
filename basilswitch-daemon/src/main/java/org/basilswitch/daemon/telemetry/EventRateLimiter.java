package org.basilswitch.daemon.telemetry;

/** Limits how often an event is logged, by fixed windows of one second. */
final class EventRateLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000;

    private final int limitPerWindow;
    private long windowStartNanos;
    private int used;
    private long suppressed;

    EventRateLimiter(int limitPerWindow) {
        this.limitPerWindow = limitPerWindow;
    }

    boolean tryAcquire(long nowNanos) {
        if (nowNanos - windowStartNanos > WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            used = 0;
        }
        if (used >= limitPerWindow) {
            suppressed++;
            return false;
        }
        used++;
        return true;
    }

    /** Returns how many events were suppressed since the last call, and resets that number. */
    long takeSuppressed() {
        long taken = suppressed;
        suppressed = 0;
        return taken;
    }
}

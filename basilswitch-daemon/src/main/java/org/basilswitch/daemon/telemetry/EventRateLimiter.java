package org.basilswitch.daemon.telemetry;

/** Bounds how often an event is logged, in windows of one second. */
final class EventRateLimiter {
    private static final long WINDOW_NANOS = 1_000_000_000;

    private final int limit;
    private long windowStartNanos;
    private int used;
    private long suppressed;

    EventRateLimiter(int limit) {
        this.limit = limit;
    }

    boolean tryAcquire(long nowNanos) {
        if (nowNanos - windowStartNanos > WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            used = 0;
        }
        if (used >= limit) {
            suppressed++;
            return false;
        }
        used++;
        return true;
    }

    /** Returns and forgets how many were suppressed. */
    long takeSuppressed() {
        long taken = suppressed;
        suppressed = 0;
        return taken;
    }
}

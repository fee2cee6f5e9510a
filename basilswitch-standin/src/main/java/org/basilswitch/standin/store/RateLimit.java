package org.basilswitch.standin.store;

import java.time.Duration;

import org.basilswitch.time.Clock;

/** Token bucket with a burst capacity of half a second's tokens, but at least one token. */
final class RateLimit {
    private static final double BURST_SECONDS = 0.5;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final Clock clock;
    private double ratePerSecond;
    private double tokens;
    private long lastRefillNanos;

    private RateLimit(Clock clock) {
        this.clock = clock;
        this.lastRefillNanos = clock.monotonicNanos();
    }

    static RateLimit create(Clock clock, long ratePerSecond) {
        RateLimit limit = new RateLimit(clock);
        limit.setRatePerSecond(ratePerSecond);
        return limit;
    }

    /** Sets the rate and refills the bucket; 0 disables the limit. */
    void setRatePerSecond(long rate) {
        ratePerSecond = rate;
        tokens = rate * BURST_SECONDS;
    }

    boolean tryAcquire() {
        if (ratePerSecond == 0) {
            return true;
        }
        long nowNanos = clock.monotonicNanos();
        double elapsedSeconds = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
        lastRefillNanos = nowNanos;
        tokens = Math.min(Math.max(1, ratePerSecond * BURST_SECONDS), tokens + elapsedSeconds * ratePerSecond);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}

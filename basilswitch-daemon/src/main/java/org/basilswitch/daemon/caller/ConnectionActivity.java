package org.basilswitch.daemon.caller;

import java.time.Duration;

/** Tracks the requests of a caller's connection and since when it has had none open. */
final class ConnectionActivity {
    private long idleSinceNanos;
    private int openRequests;
    private int totalRequests;

    private ConnectionActivity(long nowNanos) {
        this.idleSinceNanos = nowNanos;
    }

    static ConnectionActivity create(long nowNanos) {
        return new ConnectionActivity(nowNanos);
    }

    void onRequest() {
        totalRequests++;
        openRequests++;
    }

    void onResponseEnded(long nowNanos) {
        openRequests--;
        idleSinceNanos = nowNanos;
    }

    boolean isIdleLongerThan(long nowNanos, Duration limit) {
        return openRequests == 0 && nowNanos - idleSinceNanos > limit.toNanos();
    }

    int totalRequests() {
        return totalRequests;
    }
}

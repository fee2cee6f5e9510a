package org.basilswitch.daemon.caller;

import java.time.Duration;

import org.basilswitch.daemon.http.GuardedConnection;

/** Tracks the requests of a caller's connection and since when it has had none open. */
final class ConnectionActivity {
    private final GuardedConnection guarded;
    private long idleSinceNanos;
    private int openRequests;
    private int totalRequests;

    private ConnectionActivity(GuardedConnection guarded, long nowNanos) {
        this.guarded = guarded;
        this.idleSinceNanos = nowNanos;
    }

    static ConnectionActivity create(GuardedConnection guarded, long nowNanos) {
        return new ConnectionActivity(guarded, nowNanos);
    }

    GuardedConnection guarded() {
        return guarded;
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

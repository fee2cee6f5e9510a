package org.basilswitch.daemon.caller;

import java.time.Duration;

/** How long a caller's connection has been without a request. */
final class ConnectionActivity {
    private long idleSinceNanos;
    private int active;
    private int requests;

    private ConnectionActivity(long nowNanos) {
        this.idleSinceNanos = nowNanos;
    }

    static ConnectionActivity opened(long nowNanos) {
        return new ConnectionActivity(nowNanos);
    }

    void onRequest() {
        requests++;
        active++;
    }

    void onAnswer(long nowNanos) {
        active--;
        idleSinceNanos = nowNanos;
    }

    boolean waitedLonger(long nowNanos, Duration limit) {
        return active == 0 && nowNanos - idleSinceNanos > limit.toNanos();
    }

    int requests() {
        return requests;
    }
}

package org.basilswitch.daemon.caller;

import java.time.Duration;

/** How long a caller's connection has been without a request. */
final class CallerConnection {
    private long idleSinceNanos;
    private int active;
    private int requests;

    private CallerConnection(long nowNanos) {
        this.idleSinceNanos = nowNanos;
    }

    static CallerConnection opened(long nowNanos) {
        return new CallerConnection(nowNanos);
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

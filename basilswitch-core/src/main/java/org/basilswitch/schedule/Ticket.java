package org.basilswitch.schedule;

import java.time.Duration;

/**
 * Ticket of the advice service for a step on a server.
 *
 * @param value ticket as the server checks it
 * @param sentNanos monotonic time at which the call was sent, ns
 * @param answeredNanos monotonic time at which the answer arrived, ns
 * @param validity time for which the ticket may be used, from a time between these two
 */
record Ticket(String value, long sentNanos, long answeredNanos, Duration validity) {
    /** Returns what remains of a ticket that servers reject: the server is allowed, but there is nothing to show for it. */
    Ticket withoutValue() {
        return new Ticket("", sentNanos, answeredNanos, Duration.ZERO);
    }
}

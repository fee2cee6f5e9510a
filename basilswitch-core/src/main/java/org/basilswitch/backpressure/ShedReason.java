package org.basilswitch.backpressure;

/** Reasons for which a connection is closed, or not accepted, before its request was read whole. */
public enum ShedReason {
    /** Unfinished requests and unread answers take up the memory set aside for them. */
    BUFFERS_FULL("buffers-full"),
    /** No part of an unfinished request arrived in time. */
    STALLED("stalled"),
    /** The process has as many connections as it may have. */
    CONNECTIONS_FULL("connections-full"),
    /** The caller's address has as many connections as it may have. */
    ADDRESS_FULL("address-full"),
    /** Connections arrive faster than the event loop takes them over. */
    NOT_ACCEPTED("not-accepted");

    private final String text;

    ShedReason(String text) {
        this.text = text;
    }

    /** Returns the value of the counter's tag. */
    public String text() {
        return text;
    }
}

package org.basilswitch.dispatch;

import java.time.Duration;

import org.basilswitch.configuration.Host;

/** One attempt to run a request on one backend server. All methods are called on the entry host's event loop. */
public interface Attempt {

    /** Returns the request's identifier, unique across entry hosts and restarts. */
    String requestId();

    /** Returns the number of this attempt, counted from 1. */
    int number();

    /**
     * Returns the team that the request runs for, or {@code open} for a request without a key on a queue open to all.
     */
    String team();

    /** Returns the backend server to send the request to. */
    Host server();

    /** Returns the time limit of this attempt, at most the time until the request's deadline. */
    Duration timeout();

    /**
     * Checks that the request may be sent; called immediately before the first byte is written to the backend server.
     * When the check fails, the attempt ends as not run.
     *
     * @return whether the request may be sent now; false also when the attempt was already sent or has ended
     */
    boolean tryBeginSend();

    /**
     * Ends the attempt after the complete answer has arrived.
     *
     * @param status HTTP status of the answer
     */
    void complete(int status);

    /** Ends the attempt as failed. Whether the first byte may have been sent follows from {@link #tryBeginSend}. */
    void fail(Failure failure);

    /** Causes of a failed attempt. */
    enum Failure {
        CONNECT_REFUSED,
        CONNECT_TIMEOUT,
        SERVER_BUSY,
        RESET,
        ANSWER_TIMEOUT,
        ANSWER_MALFORMED,
        CALLER_GONE,
        CALLER_BODY_FAILED
    }
}

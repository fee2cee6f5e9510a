package org.basilswitch.dispatch;

import java.time.Duration;

import org.basilswitch.configuration.Host;

/** One attempt of a request at one backend server; each method is called on the host's event loop. */
public interface Attempt {

    /** Identifier of the request, unique across entry hosts and restarts. */
    String requestId();

    /** Number of this attempt, from 1. */
    int number();

    /** Name of the team that the request runs for; {@code open} on queues open to all without a key. */
    String team();

    /** The backend server to use. */
    Host server();

    /** Time until the request's deadline. */
    Duration timeout();

    /**
     * Asks for leave to write the first byte to the backend server, immediately before writing.
     *
     * @return whether the host may still act; when false, nothing may be sent and the attempt has ended as not run
     */
    boolean tryBeginSend();

    /** The whole answer has arrived, with its HTTP status. */
    void complete(int status);

    /** The attempt failed; whether the first byte may have left is known from {@link #beginSend}. */
    void fail(Failure failure);

    /** Kinds of failure. */
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

package org.basilswitch.daemon.worker;

import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.http.HttpHeaders;

/** HTTP headers between entry hosts and backend servers. */
public final class WorkerHeaders {
    /** Identifier of the request; the server echoes it in the response. */
    public static final CharSequence REQUEST_ID = HttpHeaders.createOptimized("Basilswitch-Request-Id");

    /** Number of the attempt; the server echoes it in the response. */
    public static final CharSequence ATTEMPT = HttpHeaders.createOptimized("Basilswitch-Attempt");

    /** Team to which the request is charged. */
    public static final CharSequence TEAM = HttpHeaders.createOptimized("Basilswitch-Team");

    /** Queue to which the request was submitted. */
    public static final CharSequence QUEUE = HttpHeaders.createOptimized("Basilswitch-Queue");

    /** Time left until the request's deadline, in milliseconds. */
    public static final CharSequence DEADLINE_MS = HttpHeaders.createOptimized("Basilswitch-Deadline-Ms");

    /** UTC instant after which the server must not start the request and responds with status 412. */
    public static final CharSequence START_BEFORE = HttpHeaders.createOptimized("Basilswitch-Start-Before");

    /** {@code busy} or {@code leaving} on a response with status 503: the server has not started the request. */
    public static final CharSequence WORKER = HttpHeaders.createOptimized("Basilswitch-Worker");

    static final String BUSY = "busy";
    static final String LEAVING = "leaving";

    /** Headers of a caller's request that are forwarded to the server. */
    static final List<CharSequence> FORWARDED_REQUEST_HEADERS = Stream.of(
                    "content-type",
                    "content-encoding",
                    "content-language",
                    "accept",
                    "accept-language",
                    "traceparent",
                    "tracestate")
            .map(HttpHeaders::createOptimized)
            .toList();

    /** Response headers that are not forwarded: hop-by-hop headers and those between entry host and server. */
    private static final List<String> UNFORWARDED_RESPONSE_HEADERS = List.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "proxy-connection",
            "basilswitch-request-id",
            "basilswitch-attempt",
            "basilswitch-worker",
            "basilswitch-outcome");

    private WorkerHeaders() {}

    static boolean isForwardedResponseHeader(String name) {
        for (String excluded : UNFORWARDED_RESPONSE_HEADERS) {
            if (excluded.equalsIgnoreCase(name)) {
                return false;
            }
        }
        return true;
    }
}

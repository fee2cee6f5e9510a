package org.basilswitch.daemon.worker;

import java.util.List;
import java.util.stream.Stream;

import io.vertx.core.http.HttpHeaders;

/** Names of the headers between entry hosts and backend servers. */
public final class WorkerHeaders {
    /** Identifier of the request, echoed in the answer. */
    public static final CharSequence REQUEST_ID = HttpHeaders.createOptimized("Basilswitch-Request-Id");

    /** Number of the attempt, echoed in the answer. */
    public static final CharSequence ATTEMPT = HttpHeaders.createOptimized("Basilswitch-Attempt");

    /** Team that the request runs for. */
    public static final CharSequence TEAM = HttpHeaders.createOptimized("Basilswitch-Team");

    /** Queue that the request came through. */
    public static final CharSequence QUEUE = HttpHeaders.createOptimized("Basilswitch-Queue");

    /** Time until the request's deadline, in milliseconds. */
    public static final CharSequence DEADLINE_MS = HttpHeaders.createOptimized("Basilswitch-Deadline-Ms");

    /** UTC instant after which the backend server refuses to start the request, with status 412. */
    public static final CharSequence START_BEFORE = HttpHeaders.createOptimized("Basilswitch-Start-Before");

    /** Set to {@code busy} or {@code leaving} on a status 503 that refuses a request which has not been started. */
    public static final CharSequence WORKER = HttpHeaders.createOptimized("Basilswitch-Worker");

    static final String BUSY = "busy";
    static final String LEAVING = "leaving";

    /** A caller's headers that are passed on. */
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

    /** Headers of an answer that belong to the connection, or to the exchange with the entry host. */
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

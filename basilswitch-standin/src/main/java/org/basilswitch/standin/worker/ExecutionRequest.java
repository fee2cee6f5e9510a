package org.basilswitch.standin.worker;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.basilswitch.configuration.RecordCodec;

/**
 * A request to run, decoded from its headers and body.
 *
 * @param requestId request identifier
 * @param attempt attempt number
 * @param team team that the request belongs to; empty if absent
 * @param queue queue that the request was sent to; empty if absent
 * @param startBefore time by which the request has to start; empty if there is no limit
 * @param body the load generator's body; {@link LoadBody#none()} if the body has another format
 */
record ExecutionRequest(
        String requestId, int attempt, String team, String queue, Optional<Instant> startBefore, LoadBody body) {
    static final String REQUEST_ID = "Basilswitch-Request-Id";
    static final String ATTEMPT = "Basilswitch-Attempt";
    private static final String TEAM = "Basilswitch-Team";
    private static final String QUEUE = "Basilswitch-Queue";
    private static final String START_BEFORE = "Basilswitch-Start-Before";
    private static final String SERVICE_MS = "Basilswitch-Test-Service-Ms";

    /** Decodes a request; empty if a required header is missing or a header is malformed. */
    static Optional<ExecutionRequest> decode(MultiMap headers, Buffer content) {
        try {
            String requestId = headers.get(REQUEST_ID);
            if (requestId == null) {
                return Optional.empty();
            }
            int attempt = Integer.parseInt(headers.get(ATTEMPT));
            Optional<Instant> startBefore =
                    Optional.ofNullable(headers.get(START_BEFORE)).map(Instant::parse);
            LoadBody body = decodeLoadBody(headers, content);
            return Optional.of(new ExecutionRequest(
                    requestId,
                    attempt,
                    emptyIfAbsent(headers.get(TEAM)),
                    emptyIfAbsent(headers.get(QUEUE)),
                    startBefore,
                    body));
        } catch (NumberFormatException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    private static LoadBody decodeLoadBody(MultiMap headers, Buffer content) {
        LoadBody body = RecordCodec.decode(content.getBytes(), LoadBody.class).orElse(LoadBody.none());
        String serviceMs = headers.get(SERVICE_MS);
        return serviceMs == null ? body : new LoadBody(body.testId(), Double.parseDouble(serviceMs));
    }

    private static String emptyIfAbsent(String header) {
        return header == null ? "" : header;
    }

    /** Returns the requested service time; empty if the worker's own distribution applies. */
    Optional<Duration> serviceTime() {
        return body.serviceMs() > 0
                ? Optional.of(Duration.ofNanos(
                        Math.round(body.serviceMs() * Duration.ofMillis(1).toNanos())))
                : Optional.empty();
    }
}

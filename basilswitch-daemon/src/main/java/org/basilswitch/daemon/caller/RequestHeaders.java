package org.basilswitch.daemon.caller;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import org.basilswitch.dispatch.RequestSpec;
import org.basilswitch.dispatch.RequestSpec.Priority;

/** Parses the typed headers of a caller's request; the left side of a result says which header is invalid and why. */
final class RequestHeaders {
    private static final CharSequence IDEMPOTENCY_KEY = HttpHeaders.createOptimized("Idempotency-Key");
    private static final CharSequence DEADLINE_MS = HttpHeaders.createOptimized("Basilswitch-Deadline-Ms");
    private static final CharSequence PRIORITY = HttpHeaders.createOptimized("Basilswitch-Priority");

    private static final CharSequence AUTHORIZATION = HttpHeaders.createOptimized("Authorization");
    private static final String BEARER = "bearer ";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final long MAX_DEADLINE_MS = Duration.ofHours(24).toMillis();

    private RequestHeaders() {}

    static Either<String, RequestSpec> parse(String queue, MultiMap headers) {
        return parseApiKey(headers)
                .flatMap(key -> parseIdempotencyKey(headers)
                        .flatMap(id -> parseDeadline(headers)
                                .flatMap(deadline -> parsePriority(headers)
                                        .map(priority -> new RequestSpec(queue, key, id, deadline, priority)))));
    }

    private static Either<String, Optional<String>> parseApiKey(MultiMap headers) {
        String value = headers.get(AUTHORIZATION);
        if (value == null) {
            return Either.right(Optional.empty());
        }
        boolean bearer = value.regionMatches(true, 0, BEARER, 0, BEARER.length());
        String secret = bearer ? value.substring(BEARER.length()).trim() : "";
        return secret.isEmpty()
                ? Either.left("Authorization must be 'Bearer <key>'")
                : Either.right(Optional.of(secret));
    }

    private static Either<String, Optional<String>> parseIdempotencyKey(MultiMap headers) {
        String value = headers.get(IDEMPOTENCY_KEY);
        if (value == null) {
            return Either.right(Optional.empty());
        }
        boolean valid = !value.isEmpty()
                && value.length() <= MAX_IDEMPOTENCY_KEY_LENGTH
                && headers.getAll(IDEMPOTENCY_KEY).size() == 1;
        return valid
                ? Either.right(Optional.of(value))
                : Either.left("Idempotency-Key must be given once, with 1 to 255 characters");
    }

    private static Either<String, Optional<Duration>> parseDeadline(MultiMap headers) {
        String value = headers.get(DEADLINE_MS);
        if (value == null) {
            return Either.right(Optional.empty());
        }
        try {
            long deadlineMs = Long.parseLong(value);
            if (deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS) {
                return Either.right(Optional.of(Duration.ofMillis(deadlineMs)));
            }
        } catch (NumberFormatException e) {
            // Falls through to the error below, like a number out of range.
        }
        return Either.left("Basilswitch-Deadline-Ms must be a whole number from 1 to " + MAX_DEADLINE_MS);
    }

    private static Either<String, Priority> parsePriority(MultiMap headers) {
        String value = headers.get(PRIORITY);
        return switch (value == null ? "normal" : value.toLowerCase(Locale.ROOT)) {
            case "urgent" -> Either.right(Priority.URGENT);
            case "normal" -> Either.right(Priority.NORMAL);
            case "background" -> Either.right(Priority.BACKGROUND);
            default -> Either.left("Basilswitch-Priority must be urgent, normal or background");
        };
    }
}

package org.basilswitch.daemon.admin;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import io.vertx.core.http.HttpServerRequest;

/**
 * Request headers of a change.
 *
 * @param operationId operation id that the client chose
 * @param expectedRevision revision in {@code If-Match}; 0 for {@code If-None-Match: *}, which creates a record
 */
public record ChangeHeaders(String operationId, long expectedRevision) {
    /** Name of the header with the operation id. */
    public static final String OPERATION_ID = "Basilswitch-Operation-Id";

    private static final int BAD_REQUEST = 400;
    private static final int PRECONDITION_REQUIRED = 428;
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9._-]{8,64}");
    private static final Pattern REVISION = Pattern.compile("\"?([0-9]{1,18})\"?");
    private static final Pattern WAIT = Pattern.compile("wait=([0-9]{1,3})");

    static Either<Problem, ChangeHeaders> read(HttpServerRequest request) {
        String id = request.getHeader(OPERATION_ID);
        if (id == null || !ID.matcher(id).matches()) {
            return Either.left(Problem.of(
                    BAD_REQUEST,
                    "operation-id-missing",
                    OPERATION_ID + " is missing or malformed",
                    "Send an id of 8 to 64 letters, digits, dots, underscores and hyphens, new for each change."));
        }
        return revision(request).map(revision -> new ChangeHeaders(id, revision));
    }

    private static Either<Problem, Long> revision(HttpServerRequest request) {
        if ("*".equals(request.getHeader("If-None-Match"))) {
            return Either.right(0L);
        }
        String match = Optional.ofNullable(request.getHeader("If-Match")).orElse("");
        Matcher matcher = REVISION.matcher(match.trim());
        return matcher.matches()
                ? Either.right(Long.parseLong(matcher.group(1)))
                : Either.left(Problem.of(
                        PRECONDITION_REQUIRED,
                        "revision-missing",
                        "If-Match names no revision",
                        "Read the record and send its revision as If-Match, or If-None-Match: * to create it."));
    }

    /** Returns how long the client waits for a change to be in force ({@code Prefer: wait=seconds}, RFC 7240). */
    static Duration inForceWait(HttpServerRequest request, Duration longest) {
        Matcher matcher =
                WAIT.matcher(Optional.ofNullable(request.getHeader("Prefer")).orElse(""));
        if (!matcher.find()) {
            return longest;
        }
        Duration requested = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
        return requested.compareTo(longest) < 0 ? requested : longest;
    }
}

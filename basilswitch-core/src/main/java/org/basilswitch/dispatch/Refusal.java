package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.Optional;

/**
 * Describes why a request received no answer from a backend server.
 *
 * @param code typed reason
 * @param outcome what is known about the request's execution
 * @param retryAfter delay after which a retry may succeed; empty when retrying soon does not help
 */
public record Refusal(Code code, Outcome outcome, Optional<Duration> retryAfter) {

    /** States whether the request has run, as far as is known. */
    public enum Outcome {
        RAN("ran"),
        NOT_RUN("not-run"),
        UNKNOWN("unknown");

        private final String text;

        Outcome(String text) {
            this.text = text;
        }

        /** Returns the value of the {@code Basilswitch-Outcome} header. */
        public String text() {
            return text;
        }
    }

    /** Reasons for a refusal, each with its HTTP status and a remedy for the caller. Refusals are counted by reason. */
    public enum Code {
        KEY_UNKNOWN(401, "Send a granted key as bearer token; ask your operator for a new one when it was withdrawn."),
        KEY_MISSING(401, "This queue is not open to all: send your team's key as bearer token."),
        TEAM_NOT_ALLOWED(403, "The key's team may not use this queue; ask your operator."),
        QUEUE_UNKNOWN(404, "Check the queue's name in the path."),
        PATH_UNKNOWN(404, "Send requests with POST to /v1/queues/{queue}/requests."),
        BODY_STALLED(408, "Send the whole body without long pauses."),
        HEADERS_TOO_LARGE(431, "Send fewer or shorter headers."),
        ALREADY_CLAIMED(409, "A request with this idempotency key was already accepted; do not send it again."),
        BODY_TOO_LARGE(413, "Send a smaller body; the queue's limit is in the detail."),
        REQUEST_MALFORMED(400, "Correct the request's headers."),
        TEAM_LIMIT(429, "Your team has as many requests running as its limit allows; retry later."),
        QUEUE_FULL(429, "Too many requests of your team are waiting; retry later."),
        OVERLOADED(503, "No capacity before the deadline; retry later."),
        NO_SERVER(503, "No backend server of the pool is available; retry later."),
        STALE(503, "This entry host has lost touch with its peers; retry, the balancer will pick another."),
        DRAINING(503, "This entry host is shutting down; retry, the balancer will pick another."),
        CLAIM_UNAVAILABLE(503, "The request's id can't be claimed now; retry later with the same id."),
        RETRIES_EXHAUSTED(503, "Several backend servers failed; retry later."),
        SET_ASIDE(503, "The request failed on several distinct backend servers; check the request itself."),
        CALLER_GONE(499, "The caller closed the connection."),
        ANSWER_LOST(502, "The request was sent but no whole answer came; check before sending it again."),
        DEADLINE(504, "The deadline passed; allow more time or retry later.");

        private final int status;
        private final String remedy;

        Code(int status, String remedy) {
            this.status = status;
            this.remedy = remedy;
        }

        /** Returns the HTTP status. */
        public int status() {
            return status;
        }

        /** Returns what the caller can do about the refusal. */
        public String remedy() {
            return remedy;
        }

        /** Returns the code as written in problem documents and metric tags. */
        public String text() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** Creates a refusal of a request that has certainly not run. */
    public static Refusal notRun(Code code) {
        return new Refusal(code, Outcome.NOT_RUN, Optional.empty());
    }

    /** Creates a refusal of a request that has certainly not run and may be retried after a delay. */
    public static Refusal notRun(Code code, Duration retryAfter) {
        return new Refusal(code, Outcome.NOT_RUN, Optional.of(retryAfter));
    }

    /** Creates a refusal of a request that was sent and whose outcome is unknown. */
    public static Refusal unknown(Code code) {
        return new Refusal(code, Outcome.UNKNOWN, Optional.empty());
    }
}

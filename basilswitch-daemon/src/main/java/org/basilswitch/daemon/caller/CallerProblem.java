package org.basilswitch.daemon.caller;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.basilswitch.dispatch.Refusal;

/**
 * A problem document (RFC 9457) with the extension members code, outcome, remedy and retryAfterMs.
 *
 * @param refusal the refusal to report
 * @param detail fault of this particular request; empty when the code is specific enough
 */
record CallerProblem(Refusal refusal, Optional<String> detail) {
    static final CharSequence OUTCOME_HEADER = HttpHeaders.createOptimized("Basilswitch-Outcome");

    private static final String CONTENT_TYPE = "application/problem+json";
    private static final long MS_PER_SECOND = 1000;

    static CallerProblem of(Refusal refusal) {
        return new CallerProblem(refusal, Optional.empty());
    }

    static CallerProblem notRun(Refusal.Code code, String detail) {
        return new CallerProblem(Refusal.notRun(code), Optional.of(detail));
    }

    void writeTo(HttpServerResponse response) {
        response.setStatusCode(refusal.code().status());
        response.putHeader("Content-Type", CONTENT_TYPE);
        response.putHeader(OUTCOME_HEADER, refusal.outcome().text());
        refusal.retryAfter().ifPresent(time -> response.putHeader("Retry-After", seconds(time)));
        response.end(json().toBuffer());
    }

    private JsonObject json() {
        JsonObject json = new JsonObject()
                .put("type", "about:blank")
                .put("title", refusal.code().text().replace('-', ' '))
                .put("status", refusal.code().status())
                .put("code", refusal.code().text())
                .put("outcome", refusal.outcome().text())
                .put("remedy", refusal.code().remedy());
        detail.ifPresent(text -> json.put("detail", text));
        refusal.retryAfter().ifPresent(time -> json.put("retryAfterMs", time.toMillis()));
        return json;
    }

    private static String seconds(Duration time) {
        return Long.toString(Math.max(1, Math.ceilDiv(time.toMillis(), MS_PER_SECOND)));
    }
}

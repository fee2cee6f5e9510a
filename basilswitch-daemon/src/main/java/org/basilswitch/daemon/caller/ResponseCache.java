package org.basilswitch.daemon.caller;

import java.time.Duration;
import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.dispatch.RequestSpec;

/**
 * Short answers to requests with an idempotency key, kept at the entry host that passed them on, for a caller that
 * lost its answer and sends the request again. They are few and short-lived: without one, the caller is told that the
 * request was claimed already.
 */
final class ResponseCache {
    static final int MAX_RESPONSE_BYTES = 16 * 1024;

    private static final String REPLAYED_HEADER = "Basilswitch-Replayed";
    private static final long MAX_TOTAL_BYTES = 4L * 1024 * 1024;
    private static final int ENTRY_OVERHEAD_BYTES = 512;
    private static final Duration TIME_TO_LIVE = Duration.ofMinutes(10);

    private final Cache<Key, CachedResponse> responses = Caffeine.newBuilder()
            .maximumWeight(MAX_TOTAL_BYTES)
            .weigher((Key key, CachedResponse answer) ->
                    ENTRY_OVERHEAD_BYTES + answer.body().length())
            .expireAfterWrite(TIME_TO_LIVE)
            .build();

    private ResponseCache() {}

    static ResponseCache create() {
        return new ResponseCache();
    }

    /** An answer as it was passed on. */
    record CachedResponse(int status, MultiMap headers, Buffer body) {
        void writeTo(HttpServerResponse response) {
            response.setStatusCode(status);
            response.headers().addAll(headers);
            response.headers().remove("Transfer-Encoding");
            response.putHeader(REPLAYED_HEADER, "true");
            response.putHeader(CallerProblem.OUTCOME_HEADER, Refusal.Outcome.RAN.text());
            response.end(body);
        }
    }

    /** The caller's key is part of it, so that nobody gets another caller's answer by guessing an identifier. */
    private record Key(String queue, Optional<String> secret, String idempotencyKey) {
        private static Optional<Key> of(RequestSpec spec) {
            return spec.idempotencyKey().map(id -> new Key(spec.queue(), spec.keySecret(), id));
        }
    }

    void put(RequestSpec spec, CachedResponse answer) {
        Key.of(spec).ifPresent(key -> responses.put(key, answer));
    }

    Optional<CachedResponse> find(RequestSpec spec) {
        return Key.of(spec).map(responses::getIfPresent);
    }
}

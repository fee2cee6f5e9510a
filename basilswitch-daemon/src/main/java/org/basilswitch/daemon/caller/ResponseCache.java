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
 * Caches short responses to requests with an idempotency key, at the entry host that forwarded them, so that a caller
 * which lost the response gets it again on a retry.
 *
 * <p>Best effort: the cache is bounded in size and time. On a miss the retry is refused with
 * {@link Refusal.Code#ALREADY_CLAIMED}.
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

    /** A response as it was forwarded to the caller. */
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

    /** Includes the caller's API key, so that no caller gets another's response by guessing its idempotency key. */
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

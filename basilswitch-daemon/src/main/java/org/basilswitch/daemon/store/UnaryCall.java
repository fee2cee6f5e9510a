package org.basilswitch.daemon.store;

import java.net.URI;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreError.Reason;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.ErrorResponse;

/**
 * One attempt of a call. The result is {@link StoreError.Refused} when the request was not sent or the store rejected
 * it, and {@link StoreError.Unknown} for any other failure to receive a complete response.
 */
final class UnaryCall {
    private static final int HTTP_OK = 200;
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;

    private final Vertx vertx;
    private final HttpClient client;
    private final Duration timeout;
    private final Promise<Either<StoreError, Buffer>> result = Promise.promise();
    private Optional<HttpClientRequest> sentRequest = Optional.empty();
    private long timer;

    private UnaryCall(Vertx vertx, HttpClient client, Duration timeout) {
        this.vertx = vertx;
        this.client = client;
        this.timeout = timeout;
    }

    /** Makes one attempt; the future never fails, errors are its left value. */
    static Future<Either<StoreError, Buffer>> send(
            Vertx vertx, HttpClient client, Duration timeout, URI endpoint, StoreCall call, byte[] body) {
        UnaryCall attempt = new UnaryCall(vertx, client, timeout);
        attempt.start(endpoint, call, body);
        return attempt.result.future();
    }

    private void start(URI endpoint, StoreCall call, byte[] body) {
        timer = vertx.setTimer(timeout.toMillis(), ignored -> onTimeout());
        client.request(Endpoints.requestOptions(endpoint, call))
                .onFailure(cause -> complete(refused(Reason.UNREACHABLE, "not connected: " + cause.getMessage())))
                .onSuccess(request -> write(request, body));
    }

    private void write(HttpClientRequest request, byte[] body) {
        if (result.future().isComplete()) {
            request.reset();
            return;
        }
        sentRequest = Optional.of(request);
        request.putHeader("Content-Type", "application/json")
                .send(Buffer.buffer(body))
                .onSuccess(this::onResponse)
                .onFailure(cause -> complete(unknown(Reason.UNREACHABLE, "connection lost: " + cause.getMessage())));
    }

    private void onResponse(HttpClientResponse response) {
        response.body()
                .onSuccess(body -> complete(toResult(response.statusCode(), body)))
                .onFailure(cause -> complete(unknown(Reason.UNREACHABLE, "answer cut off: " + cause.getMessage())));
    }

    private void onTimeout() {
        if (sentRequest.isEmpty()) {
            complete(refused(Reason.TIMEOUT, "no connection within " + timeout.toMillis() + " ms"));
            return;
        }
        complete(unknown(Reason.TIMEOUT, "no answer within " + timeout.toMillis() + " ms"));
        sentRequest.get().reset();
    }

    private void complete(Either<StoreError, Buffer> outcome) {
        if (result.tryComplete(outcome)) {
            vertx.cancelTimer(timer);
        }
    }

    private static Either<StoreError, Buffer> toResult(int status, Buffer body) {
        if (status == HTTP_OK) {
            return Either.right(body);
        }
        String message = EtcdJson.decode(body.getBytes(), ErrorResponse.class)
                .map(ErrorResponse::message)
                .orElse("status " + status);
        return switch (status) {
            case HTTP_TOO_MANY_REQUESTS -> refused(Reason.RATE_LIMITED, message);
            case HTTP_NOT_FOUND -> refused(reasonOf(message), message);
            case HTTP_BAD_REQUEST -> refused(reasonOf(message), message);
            default -> unknown(Reason.UNREACHABLE, message);
        };
    }

    private static Reason reasonOf(String message) {
        String lower = message.toLowerCase(Locale.ROOT);
        if (lower.contains("lease not found")) {
            return Reason.LEASE_LAPSED;
        }
        return lower.contains("too large") ? Reason.VALUE_TOO_LARGE : Reason.MALFORMED_ANSWER;
    }

    private static <T> Either<StoreError, T> refused(Reason reason, String detail) {
        return Either.left(new StoreError.Refused(reason, detail));
    }

    private static <T> Either<StoreError, T> unknown(Reason reason, String detail) {
        return Either.left(new StoreError.Unknown(reason, detail));
    }
}

package org.basilswitch.daemon.caller;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.daemon.worker.RequestBody;
import org.basilswitch.daemon.worker.ResponseSink;
import org.basilswitch.daemon.worker.WorkerExchange;
import org.basilswitch.dispatch.Attempt;
import org.basilswitch.dispatch.Attempt.Failure;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.dispatch.RequestBroker.RequestHandle;
import org.basilswitch.dispatch.RequestBroker.RequestObserver;
import org.basilswitch.dispatch.RequestSpec;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;

/** One caller's request, from its headers to its response or refusal. */
final class CallerRequest implements RequestObserver, ResponseSink {
    private static final Buffer NO_BODY = Buffer.buffer();

    private final CallerHttpServer server;
    private final HttpServerRequest request;
    private final RequestSpec spec;
    private final RequestBody body;
    private final long startNanos;
    private final Buffer responseBody;
    private RequestHandle handle = () -> {};
    private Optional<WorkerExchange> exchange = Optional.empty();
    private Optional<Refusal.Code> bodyDefect = Optional.empty();
    private boolean responseStarted;
    private boolean ended;
    private long responseBytes;
    private long lastReceivedBytes;
    private long lastProgressNanos;

    private CallerRequest(CallerHttpServer server, HttpServerRequest request, RequestSpec spec, RequestBody body) {
        this.server = server;
        this.request = request;
        this.spec = spec;
        this.body = body;
        this.responseBody = spec.idempotencyKey().isPresent() ? Buffer.buffer() : NO_BODY;
        this.startNanos = server.clock().monotonicNanos();
    }

    static CallerRequest accept(
            CallerHttpServer server, HttpServerRequest request, RequestSpec spec, RequestBody body) {
        CallerRequest accepted = new CallerRequest(server, request, spec, body);
        request.response().closeHandler(closed -> accepted.onCallerGone());
        request.exceptionHandler(error -> accepted.onCallerGone());
        accepted.handle = server.broker().submit(spec, accepted);
        return accepted;
    }

    @Override
    public void onAttempt(Attempt attempt) {
        if (ended || responseStarted) {
            attempt.fail(Failure.CALLER_GONE);
            return;
        }
        if (!body.isSendable()) {
            attempt.fail(Failure.CALLER_BODY_FAILED);
            return;
        }
        lastProgressNanos = server.clock().monotonicNanos();
        exchange = Optional.of(WorkerExchange.start(
                server.dependencies(), attempt, spec.queue(), server.entryHosts(), request.headers(), body, this));
    }

    @Override
    public void onRefused(Refusal refusal) {
        exchange.ifPresent(running -> running.cancel(Failure.CALLER_GONE));
        exchange = Optional.empty();
        if (ended) {
            return;
        }
        Optional<ResponseCache.CachedResponse> cached = refusal.code() == Refusal.Code.ALREADY_CLAIMED
                ? server.responseCache().find(spec)
                : Optional.empty();
        if (cached.isPresent()) {
            end(Refusal.Outcome.RAN);
            server.replay(request, body, cached.get());
            return;
        }
        Refusal reported = bodyDefect
                .map(code -> new Refusal(code, refusal.outcome(), Optional.empty()))
                .orElse(refusal);
        end(reported.outcome());
        server.refuse(request, body, CallerProblem.of(reported));
    }

    @Override
    public HttpServerResponse startResponse(HttpClientResponse answer) {
        responseStarted = true;
        HttpServerResponse response = request.response();
        response.setStatusCode(answer.statusCode());
        response.setStatusMessage(answer.statusMessage());
        response.putHeader(CallerProblem.OUTCOME_HEADER, Refusal.Outcome.RAN.text());
        server.setCommonHeaders(response);
        return response;
    }

    @Override
    public void onChunk(Buffer chunk) {
        if (spec.idempotencyKey().isEmpty()) {
            return;
        }
        responseBytes += chunk.length();
        if (responseBytes <= ResponseCache.MAX_RESPONSE_BYTES) {
            responseBody.appendBuffer(chunk);
        }
    }

    private void cacheResponse(int status) {
        if (spec.idempotencyKey().isPresent() && responseBytes <= ResponseCache.MAX_RESPONSE_BYTES) {
            MultiMap headers =
                    MultiMap.caseInsensitiveMultiMap().addAll(request.response().headers());
            server.responseCache().put(spec, new ResponseCache.CachedResponse(status, headers, responseBody));
        }
    }

    @Override
    public void onCompleted(int status) {
        exchange = Optional.empty();
        cacheResponse(status);
        end(Refusal.Outcome.RAN);
        server.discardRemainingBody(request, body);
    }

    @Override
    public void onFailed(Failure failure, boolean headersForwarded) {
        exchange = Optional.empty();
        if (headersForwarded && !ended) {
            end(Refusal.Outcome.UNKNOWN);
            request.response().reset();
        }
    }

    @Override
    public void onBodyDefect(RequestBody.Defect defect) {
        exchange = Optional.empty();
        bodyDefect = Optional.of(
                switch (defect) {
                    case TOO_LARGE -> Refusal.Code.BODY_TOO_LARGE;
                    case STALLED -> Refusal.Code.BODY_STALLED;
                });
        server.recordRejection(
                bodyDefect.get(),
                defect == RequestBody.Defect.TOO_LARGE
                        ? EventCode.CALLER_BODY_TOO_LARGE
                        : EventCode.CALLER_BODY_STALLED,
                "queue=" + spec.queue() + " received=" + body.receivedBytes());
        if (responseStarted && !ended) {
            end(Refusal.Outcome.UNKNOWN);
            request.response().reset();
        }
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        end(Refusal.Outcome.UNKNOWN);
        server.telemetry().count(CounterCode.CALLERS_REJECTED, Refusal.Code.CALLER_GONE.text());
        server.telemetry().event(EventCode.CALLER_GONE, "queue=" + spec.queue());
        handle.cancel();
        exchange.ifPresent(running -> running.cancel(Failure.CALLER_GONE));
        exchange = Optional.empty();
    }

    private void end(Refusal.Outcome outcome) {
        ended = true;
        server.onRequestEnded(this, spec.queue(), outcome, server.clock().monotonicNanos() - startNanos);
    }

    /** Ends the request when the caller has sent no body data for longer than the idle timeout. */
    void checkProgress(Duration idleTimeout) {
        if (exchange.isEmpty() || !body.isWaitingForCaller()) {
            lastProgressNanos = server.clock().monotonicNanos();
            return;
        }
        if (body.receivedBytes() != lastReceivedBytes) {
            lastReceivedBytes = body.receivedBytes();
            lastProgressNanos = server.clock().monotonicNanos();
        } else if (server.clock().monotonicNanos() - lastProgressNanos > idleTimeout.toNanos()) {
            exchange.get().onBodyStalled();
        }
    }

    /** Closes the caller's connection, used when the shutdown's grace period is over. */
    void closeConnection() {
        request.connection().close();
    }
}

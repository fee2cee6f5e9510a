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

/** One caller's request from its head to its answer or refusal. */
final class CallerRequest implements RequestObserver, ResponseSink {
    private static final Buffer NO_BODY = Buffer.buffer();

    private final CallerHttpServer port;
    private final HttpServerRequest request;
    private final RequestSpec spec;
    private final RequestBody body;
    private final long startNanos;
    private final Buffer answerBody;
    private RequestHandle handle = () -> {};
    private Optional<WorkerExchange> exchange = Optional.empty();
    private Optional<Refusal.Code> bodyDefect = Optional.empty();
    private boolean answerBegun;
    private boolean ended;
    private long answerBytes;
    private long lastReceivedBytes;
    private long lastProgressNanos;

    private CallerRequest(CallerHttpServer port, HttpServerRequest request, RequestSpec spec, RequestBody body) {
        this.port = port;
        this.request = request;
        this.spec = spec;
        this.body = body;
        this.answerBody = spec.idempotencyKey().isPresent() ? Buffer.buffer() : NO_BODY;
        this.startNanos = port.clock().monotonicNanos();
    }

    static CallerRequest accept(CallerHttpServer port, HttpServerRequest request, RequestSpec spec, RequestBody body) {
        CallerRequest accepted = new CallerRequest(port, request, spec, body);
        request.response().closeHandler(closed -> accepted.onCallerGone());
        request.exceptionHandler(error -> accepted.onCallerGone());
        accepted.handle = port.broker().submit(spec, accepted);
        return accepted;
    }

    @Override
    public void attempt(Attempt attempt) {
        if (ended || answerBegun) {
            attempt.fail(Failure.CALLER_GONE);
            return;
        }
        if (!body.isSendable()) {
            attempt.fail(Failure.CALLER_BODY_FAILED);
            return;
        }
        lastProgressNanos = port.clock().monotonicNanos();
        exchange = Optional.of(WorkerExchange.start(
                port.dependencies(), attempt, spec.queue(), port.entryHosts(), request.headers(), body, this));
    }

    @Override
    public void refused(Refusal refusal) {
        exchange.ifPresent(running -> running.cancel(Failure.CALLER_GONE));
        exchange = Optional.empty();
        if (ended) {
            return;
        }
        Optional<ResponseCache.CachedResponse> kept = refusal.code() == Refusal.Code.ALREADY_CLAIMED
                ? port.responseCache().find(spec)
                : Optional.empty();
        if (kept.isPresent()) {
            end(Refusal.Outcome.RAN);
            port.replay(request, body, kept.get());
            return;
        }
        Refusal told = bodyDefect
                .map(code -> new Refusal(code, refusal.outcome(), Optional.empty()))
                .orElse(refusal);
        end(told.outcome());
        port.refuse(request, body, CallerProblem.of(told));
    }

    @Override
    public HttpServerResponse beginResponse(HttpClientResponse answer) {
        answerBegun = true;
        HttpServerResponse response = request.response();
        response.setStatusCode(answer.statusCode());
        response.setStatusMessage(answer.statusMessage());
        response.putHeader(CallerProblem.OUTCOME_HEADER, Refusal.Outcome.RAN.text());
        port.prepare(response);
        return response;
    }

    @Override
    public void onChunk(Buffer chunk) {
        if (spec.idempotencyKey().isEmpty()) {
            return;
        }
        answerBytes += chunk.length();
        if (answerBytes <= ResponseCache.MAX_ANSWER_BYTES) {
            answerBody.appendBuffer(chunk);
        }
    }

    private void keepAnswer(int status) {
        if (spec.idempotencyKey().isPresent() && answerBytes <= ResponseCache.MAX_ANSWER_BYTES) {
            MultiMap headers =
                    MultiMap.caseInsensitiveMultiMap().addAll(request.response().headers());
            port.responseCache().keep(spec, new ResponseCache.CachedResponse(status, headers, answerBody));
        }
    }

    @Override
    public void onCompleted(int status) {
        exchange = Optional.empty();
        keepAnswer(status);
        end(Refusal.Outcome.RAN);
        port.discardRest(request, body);
    }

    @Override
    public void onFailed(Failure failure, boolean begun) {
        exchange = Optional.empty();
        if (begun && !ended) {
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
        port.reject(
                bodyDefect.get(),
                defect == RequestBody.Defect.TOO_LARGE
                        ? EventCode.CALLER_BODY_TOO_LARGE
                        : EventCode.CALLER_BODY_STALLED,
                "queue=" + spec.queue() + " received=" + body.receivedBytes());
        if (answerBegun && !ended) {
            end(Refusal.Outcome.UNKNOWN);
            request.response().reset();
        }
    }

    private void onCallerGone() {
        if (ended) {
            return;
        }
        end(Refusal.Outcome.UNKNOWN);
        port.telemetry().count(CounterCode.CALLERS_REJECTED, Refusal.Code.CALLER_GONE.text());
        port.telemetry().event(EventCode.CALLER_GONE, "queue=" + spec.queue());
        handle.cancel();
        exchange.ifPresent(running -> running.cancel(Failure.CALLER_GONE));
        exchange = Optional.empty();
    }

    private void end(Refusal.Outcome outcome) {
        ended = true;
        port.ended(this, spec.queue(), outcome, port.clock().monotonicNanos() - startNanos);
    }

    /** Ends the request when its caller has sent nothing of the body for too long. */
    void checkProgress(Duration idleTimeout) {
        if (exchange.isEmpty() || !body.isWaitingForCaller()) {
            lastProgressNanos = port.clock().monotonicNanos();
            return;
        }
        if (body.receivedBytes() != lastReceivedBytes) {
            lastReceivedBytes = body.receivedBytes();
            lastProgressNanos = port.clock().monotonicNanos();
        } else if (port.clock().monotonicNanos() - lastProgressNanos > idleTimeout.toNanos()) {
            exchange.get().onStalled();
        }
    }

    /** Cuts the caller's connection when the shutdown's time is up. */
    void cut() {
        request.connection().close();
    }
}

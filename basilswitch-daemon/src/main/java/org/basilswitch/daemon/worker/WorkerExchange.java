package org.basilswitch.daemon.worker;

import java.time.Duration;
import java.util.Map;

import io.netty.util.Timeout;
import io.vertx.core.AsyncResult;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ConnectionPoolTooBusyException;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.daemon.WorkerClientOptions;
import org.basilswitch.daemon.livelist.LeavingReports;
import org.basilswitch.dispatch.Attempt;
import org.basilswitch.dispatch.Attempt.Failure;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.ServingLease;
import org.basilswitch.time.Clock;

/** Executes one attempt at a backend server: connects, sends the request and forwards the response, with a timeout. */
public final class WorkerExchange {
    private static final int BUSY_STATUS = 503;
    private static final int START_DEADLINE_PASSED_STATUS = 412;

    private final Clock clock;
    private final WorkerClientOptions options;
    private final LeavingReports leavingReports;
    private final Telemetry telemetry;
    private final ServingLease servingLease;
    private final Attempt attempt;
    private final String queue;
    private final RequestBody body;
    private final ResponseSink sink;
    private Timeout timeout;
    private HttpClientRequest request;
    private boolean sent;
    private boolean responseStarted;
    private boolean ended;

    private WorkerExchange(
            Dependencies dependencies, Attempt attempt, String queue, RequestBody body, ResponseSink sink) {
        this.clock = dependencies.clock();
        this.options = dependencies.options();
        this.leavingReports = dependencies.leavingReports();
        this.telemetry = dependencies.telemetry();
        this.servingLease = dependencies.servingLease();
        this.attempt = attempt;
        this.queue = queue;
        this.body = body;
        this.sink = sink;
    }

    /** Dependencies that all exchanges of an entry host share. */
    public record Dependencies(
            TimingWheel timingWheel,
            Clock clock,
            WorkerClientOptions options,
            WorkerClients clients,
            ServingLease servingLease,
            LeavingReports leavingReports,
            Telemetry telemetry) {}

    /**
     * Starts an attempt.
     *
     * @param dependencies dependencies that all exchanges share
     * @param attempt the attempt, notified when it completes or fails
     * @param queue name of the request's queue
     * @param entryHosts number of entry hosts that share the server's connection limit
     * @param callerHeaders headers of the caller's request
     * @param body the caller's request body
     * @param sink receives the response or the failure
     */
    public static WorkerExchange start(
            Dependencies dependencies,
            Attempt attempt,
            String queue,
            int entryHosts,
            MultiMap callerHeaders,
            RequestBody body,
            ResponseSink sink) {
        WorkerExchange exchange = new WorkerExchange(dependencies, attempt, queue, body, sink);
        long timeoutMs = Math.max(1, attempt.timeout().toMillis());
        exchange.timeout = dependencies.timingWheel().schedule(timeoutMs, exchange::onTimeout);
        dependencies
                .clients()
                .request(attempt.server(), entryHosts)
                .onComplete(connected -> exchange.onConnected(connected, callerHeaders));
        return exchange;
    }

    private void onConnected(AsyncResult<HttpClientRequest> connected, MultiMap callerHeaders) {
        if (connected.failed()) {
            fail(toConnectFailure(connected.cause()));
            return;
        }
        request = connected.result();
        if (ended || !attempt.tryBeginSend()) {
            markEnded();
            request.reset();
            return;
        }
        sent = true;
        setHeaders(callerHeaders);
        request.exceptionHandler(error -> fail(Failure.RESET));
        request.response().onComplete(this::onResponse);
        body.sendTo(request, this::onBodyDefect);
    }

    private static Failure toConnectFailure(Throwable cause) {
        if (cause instanceof ConnectionPoolTooBusyException) {
            return Failure.SERVER_BUSY;
        }
        boolean timeout = cause instanceof java.util.concurrent.TimeoutException
                || cause instanceof io.netty.channel.ConnectTimeoutException;
        return timeout ? Failure.CONNECT_TIMEOUT : Failure.CONNECT_REFUSED;
    }

    private void setHeaders(MultiMap callerHeaders) {
        Duration timeRemaining = attempt.timeout();
        Duration startWindow = shorter(timeRemaining, shorter(options.startWindow(), servingLease.remaining()));
        request.putHeader(WorkerHeaders.REQUEST_ID, attempt.requestId());
        request.putHeader(WorkerHeaders.ATTEMPT, Integer.toString(attempt.number()));
        request.putHeader(WorkerHeaders.TEAM, attempt.team());
        request.putHeader(WorkerHeaders.QUEUE, queue);
        request.putHeader(WorkerHeaders.DEADLINE_MS, Long.toString(timeRemaining.toMillis()));
        request.putHeader(
                WorkerHeaders.START_BEFORE, clock.instant().plus(startWindow).toString());
        for (CharSequence name : WorkerHeaders.FORWARDED_REQUEST_HEADERS) {
            String value = callerHeaders.get(name);
            if (value != null) {
                request.putHeader(name, value);
            }
        }
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private void onResponse(AsyncResult<HttpClientResponse> answered) {
        if (ended) {
            return;
        }
        if (answered.failed()) {
            fail(Failure.RESET);
            return;
        }
        HttpClientResponse answer = answered.result();
        answer.exceptionHandler(error -> fail(Failure.RESET));
        if (!matchesAttempt(answer)) {
            telemetry.count(CounterCode.WORKER_ANSWERS_DROPPED, "mismatched");
            telemetry.event(EventCode.WORKER_ANSWER_MISMATCHED, detail());
            failAndReset(Failure.ANSWER_MALFORMED);
        } else if (isRefusedBeforeStart(answer)) {
            reportIfLeaving(answer);
            onRefusedByServer();
        } else {
            forward(answer);
        }
    }

    private boolean matchesAttempt(HttpClientResponse answer) {
        return attempt.requestId().equals(answer.getHeader(WorkerHeaders.REQUEST_ID))
                && Integer.toString(attempt.number()).equals(answer.getHeader(WorkerHeaders.ATTEMPT));
    }

    private static boolean isRefusedBeforeStart(HttpClientResponse answer) {
        String workerStatus = answer.getHeader(WorkerHeaders.WORKER);
        boolean refused = WorkerHeaders.BUSY.equals(workerStatus) || WorkerHeaders.LEAVING.equals(workerStatus);
        return refused && answer.statusCode() == BUSY_STATUS || answer.statusCode() == START_DEADLINE_PASSED_STATUS;
    }

    private void reportIfLeaving(HttpClientResponse answer) {
        if (WorkerHeaders.LEAVING.equals(answer.getHeader(WorkerHeaders.WORKER))) {
            leavingReports.reportLeaving(attempt.server().name());
        }
    }

    /** Keeps the connection for reuse when the server has received the whole request; resets it otherwise. */
    private void onRefusedByServer() {
        if (body.isEnded()) {
            fail(Failure.SERVER_BUSY);
        } else {
            failAndReset(Failure.SERVER_BUSY);
        }
    }

    private void forward(HttpClientResponse answer) {
        responseStarted = true;
        HttpServerResponse response = sink.startResponse(answer);
        for (Map.Entry<String, String> header : answer.headers()) {
            if (WorkerHeaders.isForwardedResponseHeader(header.getKey())) {
                response.headers().add(header.getKey(), header.getValue());
            }
        }
        ResponsePipe.start(
                answer, response, sink, () -> complete(answer.statusCode()), () -> failAndReset(Failure.RESET));
    }

    private void complete(int status) {
        if (markEnded()) {
            attempt.complete(status);
            sink.onCompleted(status);
        }
    }

    private void onTimeout() {
        failAndReset(sent ? Failure.ANSWER_TIMEOUT : Failure.CONNECT_TIMEOUT);
    }

    private void onBodyDefect(RequestBody.Defect defect) {
        if (markEnded()) {
            reset();
            sink.onBodyDefect(defect);
            attempt.fail(Failure.CALLER_BODY_FAILED);
        }
    }

    /** Cancels the attempt and resets the request to the server. */
    public void cancel(Failure failure) {
        if (markEnded()) {
            reset();
            attempt.fail(failure);
        }
    }

    /** Ends the attempt because the caller has stopped sending its body. */
    public void onBodyStalled() {
        onBodyDefect(RequestBody.Defect.STALLED);
    }

    private void failAndReset(Failure failure) {
        boolean first = !ended;
        fail(failure);
        if (first) {
            reset();
        }
    }

    private void fail(Failure failure) {
        if (!markEnded()) {
            return;
        }
        if (responseStarted) {
            telemetry.event(EventCode.WORKER_ANSWER_CUT, detail() + " failure=" + failure);
        }
        sink.onFailed(failure, responseStarted);
        attempt.fail(failure);
    }

    private boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        timeout.cancel();
        body.stopStreaming();
        return true;
    }

    private void reset() {
        if (request != null) {
            request.reset();
        }
    }

    private String detail() {
        return "request=" + attempt.requestId() + " attempt=" + attempt.number() + " host="
                + attempt.server().name();
    }

    /**
     * Streams a response body to the caller with back-pressure; a body of declared length is complete after that many
     * bytes.
     */
    private static final class ResponsePipe {
        private final HttpClientResponse answer;
        private final HttpServerResponse response;
        private final ResponseSink sink;
        private final Runnable onComplete;
        private final long declaredBytes;
        private long receivedBytes;
        private boolean done;

        private ResponsePipe(
                HttpClientResponse answer, HttpServerResponse response, ResponseSink sink, Runnable onComplete) {
            this.answer = answer;
            this.response = response;
            this.sink = sink;
            this.onComplete = onComplete;
            String length = answer.getHeader(io.vertx.core.http.HttpHeaders.CONTENT_LENGTH);
            this.declaredBytes = length == null ? -1 : Long.parseLong(length);
        }

        private static void start(
                HttpClientResponse answer,
                HttpServerResponse response,
                ResponseSink sink,
                Runnable onComplete,
                Runnable onError) {
            ResponsePipe pipe = new ResponsePipe(answer, response, sink, onComplete);
            if (pipe.declaredBytes < 0) {
                response.setChunked(true);
            }
            answer.exceptionHandler(error -> onError.run());
            answer.handler(pipe::onChunk);
            answer.endHandler(end -> pipe.onEnd());
        }

        private void onChunk(Buffer chunk) {
            receivedBytes += chunk.length();
            sink.onChunk(chunk);
            if (receivedBytes == declaredBytes) {
                done = true;
                response.end(chunk);
                return;
            }
            response.write(chunk);
            if (response.writeQueueFull()) {
                answer.pause();
                response.drainHandler(drained -> answer.resume());
            }
        }

        private void onEnd() {
            if (!done) {
                response.end();
            }
            onComplete.run();
        }
    }
}

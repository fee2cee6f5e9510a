package org.basilswitch.daemon.caller;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.configuration.Queue;
import org.basilswitch.daemon.CallerOptions;
import org.basilswitch.daemon.ListenOptions;
import org.basilswitch.daemon.http.ConnectionGuard;
import org.basilswitch.daemon.http.GuardedConnection;
import org.basilswitch.daemon.telemetry.Meters;
import org.basilswitch.daemon.tls.TlsMaterial;
import org.basilswitch.daemon.tls.TlsReloader;
import org.basilswitch.daemon.worker.RequestBody;
import org.basilswitch.daemon.worker.WorkerExchange;
import org.basilswitch.dispatch.Refusal;
import org.basilswitch.dispatch.RequestBroker;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** The HTTP server for callers' requests. All methods run on the entry host's event loop. */
public final class CallerHttpServer implements AutoCloseable {
    private static final String PATH_PREFIX = "/v1/queues/";
    private static final String PATH_SUFFIX = "/requests";
    private static final String UNKNOWN_QUEUE = "unknown";
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(250);
    private static final Duration DISCARD_TIMEOUT = Duration.ofSeconds(2);
    private static final long DISCARD_LIMIT_BYTES = 1024 * 1024;

    private final Vertx vertx;
    private final CallerOptions options;
    private final EntryHost host;
    private final WorkerExchange.Dependencies dependencies;
    private final Meters meters;
    private final ResponseCache responseCache = ResponseCache.create();
    private final Set<CallerRequest> activeRequests = new LinkedHashSet<>();
    private final Map<HttpConnection, ConnectionActivity> connections = new HashMap<>();
    private final ConnectionGuard guard;
    private HttpServer server;
    private boolean draining;

    private CallerHttpServer(
            Vertx vertx,
            CallerOptions options,
            EntryHost host,
            WorkerExchange.Dependencies dependencies,
            Meters meters,
            Scheduler scheduler) {
        this.vertx = vertx;
        this.options = options;
        this.host = host;
        this.dependencies = dependencies;
        this.meters = meters;
        this.guard = ConnectionGuard.create(
                options.connections(),
                ConnectionGuard.STREAM_WRITE_QUEUE_BYTES,
                dependencies.clock(),
                scheduler,
                dependencies.telemetry());
    }

    /** Creates the server; it accepts no connections before {@link #listen}. */
    public static CallerHttpServer create(
            Vertx vertx,
            CallerOptions options,
            EntryHost host,
            WorkerExchange.Dependencies dependencies,
            Meters meters,
            Scheduler scheduler) {
        return new CallerHttpServer(vertx, options, host, dependencies, meters, scheduler);
    }

    private static HttpServerOptions serverOptions(
            ListenOptions listen, CallerOptions options, Optional<TlsMaterial> tls) {
        HttpServerOptions http = new HttpServerOptions()
                .setHost(listen.ip())
                .setPort(listen.port())
                .setMaxHeaderSize(options.maxHeaderBytes())
                .setMaxInitialLineLength(options.maxHeaderBytes())
                .setHttp2ClearTextEnabled(false)
                .setAlpnVersions(List.of(io.vertx.core.http.HttpVersion.HTTP_1_1));
        tls.ifPresent(material -> material.applyTo(http));
        return http;
    }

    /** Starts listening and checking timeouts. */
    public Future<Void> listen(ListenOptions listen, TlsReloader tls) {
        vertx.setPeriodic(TIMEOUT_CHECK_INTERVAL.toMillis(), id -> checkTimeouts());
        return tls.bind(
                listen.tls(),
                material -> listen(serverOptions(listen, options, material)),
                material -> server.updateSSLOptions(material.serverOptions()));
    }

    private Future<HttpServer> listen(HttpServerOptions http) {
        server = vertx.createHttpServer(http);
        server.requestHandler(this::onRequest);
        server.invalidRequestHandler(this::onInvalidRequest);
        server.connectionHandler(connection -> onConnection(connection, http));
        return server.listen();
    }

    /** Returns the port listened on, also when a free one was requested. */
    public int actualPort() {
        return server.actualPort();
    }

    private void onConnection(HttpConnection connection, HttpServerOptions http) {
        GuardedConnection guarded = guard.open(connection, http);
        connections.put(
                connection,
                ConnectionActivity.create(guarded, dependencies.clock().monotonicNanos()));
        connection.closeHandler(closed -> {
            connections.remove(connection);
            guarded.onClosed();
        });
    }

    private void onRequest(HttpServerRequest request) {
        ConnectionActivity connection = connections.get(request.connection());
        if (connection != null) {
            connection.onRequest();
            connection.guarded().handleStreamed(request, this::admit);
        }
    }

    private void admit(HttpServerRequest request) {
        Optional<String> queue = parseQueue(request);
        if (queue.isEmpty()) {
            refuseBeforeAdmission(request, EventCode.CALLER_REQUEST_MALFORMED, Refusal.Code.PATH_UNKNOWN, "");
            return;
        }
        RequestHeaders.parse(queue.get(), request.headers())
                .peekLeft(detail -> refuseBeforeAdmission(
                        request, EventCode.CALLER_REQUEST_MALFORMED, Refusal.Code.REQUEST_MALFORMED, detail))
                .peek(spec -> {
                    RequestBody body = createBody(request, spec.queue());
                    if (body.isDeclaredTooLarge()) {
                        refuseBeforeAdmission(
                                request,
                                EventCode.CALLER_BODY_TOO_LARGE,
                                Refusal.Code.BODY_TOO_LARGE,
                                "the limit is " + limitBytes(spec.queue()) + " bytes");
                        return;
                    }
                    request.pause();
                    activeRequests.add(CallerRequest.accept(this, request, spec, body));
                });
    }

    private static Optional<String> parseQueue(HttpServerRequest request) {
        String path = request.path();
        if (path == null || request.method() != HttpMethod.POST) {
            return Optional.empty();
        }
        int end = path.length() - PATH_SUFFIX.length();
        boolean matches = path.startsWith(PATH_PREFIX) && path.endsWith(PATH_SUFFIX) && end > PATH_PREFIX.length();
        return matches ? Optional.of(path.substring(PATH_PREFIX.length(), end)) : Optional.empty();
    }

    private RequestBody createBody(HttpServerRequest request, String queue) {
        return RequestBody.of(request, limitBytes(queue), options.replayBodyBytes());
    }

    private long limitBytes(String queue) {
        Queue configured = host.configuration().queues().get(queue);
        return configured == null
                ? options.maxBodyBytes()
                : Math.min(configured.bodyLimitBytes(), options.maxBodyBytes());
    }

    private void onInvalidRequest(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        Refusal.Code code = tooLarge ? Refusal.Code.HEADERS_TOO_LARGE : Refusal.Code.REQUEST_MALFORMED;
        recordRejection(
                code,
                tooLarge ? EventCode.CALLER_HEADERS_TOO_LARGE : EventCode.CALLER_REQUEST_MALFORMED,
                "from=" + request.remoteAddress());
        request.response().putHeader("Connection", "close");
        CallerProblem.of(Refusal.notRun(code)).writeTo(request.response());
    }

    private void refuseBeforeAdmission(HttpServerRequest request, EventCode event, Refusal.Code code, String detail) {
        recordRejection(code, event, "from=" + request.remoteAddress() + (detail.isEmpty() ? "" : " " + detail));
        meters.recordRequest(UNKNOWN_QUEUE, Refusal.Outcome.NOT_RUN, 0);
        RequestBody body = RequestBody.of(request, options.maxBodyBytes(), 0);
        refuse(
                request,
                body,
                detail.isEmpty() ? CallerProblem.of(Refusal.notRun(code)) : CallerProblem.notRun(code, detail));
    }

    /** Counts and logs the rejection of a caller's input. */
    void recordRejection(Refusal.Code code, EventCode event, String detail) {
        telemetry().count(CounterCode.CALLERS_REJECTED, code.text());
        telemetry().event(event, detail);
    }

    /** Sends a refusal and discards the rest of the body. */
    void refuse(HttpServerRequest request, RequestBody body, CallerProblem problem) {
        if (request.response().closed()) {
            return;
        }
        setCommonHeaders(request.response());
        problem.writeTo(request.response());
        discardRemainingBody(request, body);
    }

    /** Sends the cached response to an earlier request with the same idempotency key. */
    void replay(HttpServerRequest request, RequestBody body, ResponseCache.CachedResponse answer) {
        if (request.response().closed()) {
            return;
        }
        setCommonHeaders(request.response());
        answer.writeTo(request.response());
        discardRemainingBody(request, body);
    }

    ResponseCache responseCache() {
        return responseCache;
    }

    /** Sets the headers common to all responses: {@code Connection: close} while draining. */
    void setCommonHeaders(HttpServerResponse response) {
        if (draining) {
            response.putHeader("Connection", "close");
        }
    }

    /**
     * Reads and discards the rest of a request body, up to a time and size limit. Closing a connection with unread data
     * sends a TCP reset, after which the caller may lose the response.
     */
    void discardRemainingBody(HttpServerRequest request, RequestBody body) {
        onResponseEnded(request.connection());
        if (body.isEnded() || request.isEnded()) {
            return;
        }
        long timer = vertx.setTimer(
                DISCARD_TIMEOUT.toMillis(), id -> request.connection().close());
        long[] discardedBytes = new long[1];
        request.handler(chunk -> {
            discardedBytes[0] += chunk.length();
            if (discardedBytes[0] > DISCARD_LIMIT_BYTES) {
                request.connection().close();
            }
        });
        request.endHandler(end -> vertx.cancelTimer(timer));
        request.resume();
    }

    private void onResponseEnded(HttpConnection connection) {
        ConnectionActivity state = connections.get(connection);
        if (state != null) {
            state.onResponseEnded(dependencies.clock().monotonicNanos());
        }
    }

    private void checkTimeouts() {
        List.copyOf(activeRequests).forEach(request -> request.checkProgress(options.bodyIdleTimeout()));
        long now = dependencies.clock().monotonicNanos();
        for (Map.Entry<HttpConnection, ConnectionActivity> entry : List.copyOf(connections.entrySet())) {
            if (entry.getValue().isIdleLongerThan(now, options.headerTimeout())) {
                closeIdle(entry.getKey(), entry.getValue());
            }
        }
    }

    private void closeIdle(HttpConnection connection, ConnectionActivity state) {
        if (state.totalRequests() == 0) {
            telemetry().count(CounterCode.CALLERS_REJECTED, "headers-stalled");
            telemetry().event(EventCode.CALLER_HEADERS_STALLED, "from=" + connection.remoteAddress());
        }
        connection.close();
    }

    /** Removes a request that has ended and records its outcome and duration. */
    void onRequestEnded(CallerRequest request, String queue, Refusal.Outcome outcome, long durationNanos) {
        activeRequests.remove(request);
        boolean known = host.configuration().queues().containsKey(queue);
        meters.recordRequest(known ? queue : UNKNOWN_QUEUE, outcome, durationNanos);
    }

    /** Returns the number of requests accepted and not yet ended. */
    public int openRequests() {
        return activeRequests.size();
    }

    /** Makes all further responses ask the caller to close the connection. */
    public void drain() {
        draining = true;
    }

    /** Closes the connections of all open requests. */
    public void closeConnections() {
        List.copyOf(activeRequests).forEach(CallerRequest::closeConnection);
    }

    RequestBroker broker() {
        return host.broker();
    }

    WorkerExchange.Dependencies dependencies() {
        return dependencies;
    }

    int entryHosts() {
        return host.members().size();
    }

    Clock clock() {
        return dependencies.clock();
    }

    Telemetry telemetry() {
        return dependencies.telemetry();
    }

    /** Stops listening and closes all connections. */
    public Future<Void> shutdown() {
        return server.close();
    }

    @Override
    public void close() {
        server.close();
    }
}

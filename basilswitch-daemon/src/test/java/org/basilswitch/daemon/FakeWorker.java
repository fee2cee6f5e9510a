package org.basilswitch.daemon;

import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;

/** A backend server on loopback with a handler set by the test. */
final class FakeWorker implements AutoCloseable {
    private final HttpServer server;
    private final CopyOnWriteArrayList<String> requestIds = new CopyOnWriteArrayList<>();
    private volatile Handler<HttpServerRequest> handler = FakeWorker::echo;

    private FakeWorker(Vertx vertx) {
        server = vertx.createHttpServer().requestHandler(this::onRequest);
    }

    static FakeWorker start(Vertx vertx) {
        FakeWorker worker = new FakeWorker(vertx);
        worker.server.listen(0, "127.0.0.1").await();
        return worker;
    }

    private void onRequest(HttpServerRequest request) {
        request.exceptionHandler(cut -> {});
        requestIds.add(request.getHeader("Basilswitch-Request-Id"));
        handler.handle(request);
    }

    void setHandler(Handler<HttpServerRequest> next) {
        handler = next;
    }

    /** Returns the identifiers of the requests received, in order of arrival. */
    CopyOnWriteArrayList<String> requestIds() {
        return requestIds;
    }

    /** Creates a response that echoes the request's identifier and attempt number. */
    static HttpServerResponse createResponse(HttpServerRequest request) {
        return request.response()
                .putHeader("Basilswitch-Request-Id", request.getHeader("Basilswitch-Request-Id"))
                .putHeader("Basilswitch-Attempt", request.getHeader("Basilswitch-Attempt"));
    }

    static void echo(HttpServerRequest request) {
        HttpServerResponse response = createResponse(request).setChunked(true);
        request.pipeTo(response);
    }

    Host host(String name, int connections) {
        String address = "127.0.0.1:" + server.actualPort();
        return new Host(name, address, "z1", "r1", "pool", HostState.ACTIVE, 64, connections, 4, 1L << 30, 0);
    }

    @Override
    public void close() {
        server.close().await();
    }
}

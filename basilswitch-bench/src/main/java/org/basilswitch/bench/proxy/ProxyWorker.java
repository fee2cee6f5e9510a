package org.basilswitch.bench.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Backend server that answers each request immediately with a fixed body. */
final class ProxyWorker implements AutoCloseable {
    private static final String[] ECHOED_HEADERS = {"Basilswitch-Request-Id", "Basilswitch-Attempt"};

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Buffer body;
    private final HttpServer server;

    private ProxyWorker(int bodyBytes) {
        body = Buffer.buffer(new byte[bodyBytes]);
        server = vertx.createHttpServer().requestHandler(this::answer);
    }

    static ProxyWorker start(int bodyBytes) {
        ProxyWorker worker = new ProxyWorker(bodyBytes);
        worker.server.listen(0, "127.0.0.1").await();
        return worker;
    }

    private void answer(HttpServerRequest request) {
        request.endHandler(end -> {
            HttpServerResponse response = request.response();
            for (String name : ECHOED_HEADERS) {
                String value = request.getHeader(name);
                if (value != null) {
                    response.putHeader(name, value);
                }
            }
            response.putHeader("Content-Type", "application/octet-stream").end(body);
        });
    }

    int port() {
        return server.actualPort();
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}

package org.basilswitch.bench.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** Baseline proxy that forwards every request to one backend server without any decision. */
final class PassThrough implements ProxyUnderTest, AutoCloseable {
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final long threadId = EventLoops.threadId(vertx);
    private final RequestOptions target;
    private final HttpClient client;
    private final HttpServer server;

    private PassThrough(int workerPort, int connections) {
        target = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost("127.0.0.1")
                .setPort(workerPort)
                .setURI("/v1/run");
        client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(connections));
        server = vertx.createHttpServer().requestHandler(this::forwardRequest);
    }

    static PassThrough start(int workerPort, int connections) {
        PassThrough pass = new PassThrough(workerPort, connections);
        pass.server.listen(0, "127.0.0.1").await();
        return pass;
    }

    private void forwardRequest(HttpServerRequest request) {
        request.pause();
        client.request(target)
                .compose(out -> {
                    out.headers().set("Content-Type", request.getHeader("Content-Type"));
                    out.headers().set("Content-Length", request.getHeader("Content-Length"));
                    return out.send(request);
                })
                .onSuccess(answer -> forwardResponse(answer, request))
                .onFailure(error -> request.response().setStatusCode(502).end());
    }

    private static void forwardResponse(HttpClientResponse answer, HttpServerRequest request) {
        request.response().setStatusCode(answer.statusCode());
        request.response().headers().addAll(answer.headers());
        answer.pipeTo(request.response());
    }

    @Override
    public long threadId() {
        return threadId;
    }

    @Override
    public int port() {
        return server.actualPort();
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}

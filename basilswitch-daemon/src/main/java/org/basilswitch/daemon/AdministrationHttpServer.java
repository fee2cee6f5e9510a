package org.basilswitch.daemon;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.basilswitch.backpressure.ConnectionLimits;
import org.basilswitch.daemon.http.ConnectionGuard;
import org.basilswitch.daemon.http.GuardedConnection;
import org.basilswitch.daemon.telemetry.Meters;
import org.basilswitch.daemon.tls.TlsMaterial;
import org.basilswitch.daemon.tls.TlsReloader;

/** HTTP server of the administration port: liveness, readiness, metrics and the administration routes. */
final class AdministrationHttpServer {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Operators, and the probes of a load balancer and a metrics server. */
    private static final ConnectionLimits LIMITS = ConnectionLimits.of(16L << 20, 256);

    private final Vertx vertx;
    private final Router router;
    private final ConnectionGuard guard;
    private final Map<HttpConnection, GuardedConnection> connections = new IdentityHashMap<>();
    private HttpServer server;

    private AdministrationHttpServer(Vertx vertx, Router router, ConnectionGuard guard) {
        this.vertx = vertx;
        this.router = router;
        this.guard = guard;
    }

    static AdministrationHttpServer create(
            Vertx vertx,
            Meters meters,
            BooleanSupplier ready,
            AdministrationRoutes routes,
            AdministrationRoutes.Dependencies dependencies) {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(context -> sendStatus(context, true, "alive"));
        router.get("/readyz").handler(context -> sendStatus(context, ready.getAsBoolean(), "ready"));
        router.get("/metrics").handler(context -> sendMetrics(vertx, context, meters));
        routes.mount(router, dependencies);
        ConnectionGuard guard = ConnectionGuard.create(
                LIMITS,
                ConnectionGuard.STREAM_WRITE_QUEUE_BYTES,
                dependencies.clock(),
                dependencies.scheduler(),
                dependencies.telemetry());
        return new AdministrationHttpServer(vertx, router, guard);
    }

    private static void sendStatus(RoutingContext context, boolean healthy, String status) {
        context.response()
                .setStatusCode(healthy ? OK : SERVICE_UNAVAILABLE)
                .putHeader("Content-Type", "text/plain")
                .end((healthy ? status : "not " + status) + "\n");
    }

    private static void sendMetrics(Vertx vertx, RoutingContext context, Meters meters) {
        vertx.executeBlocking(meters::scrape, false)
                .onSuccess(page -> context.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                        .end(page))
                .onFailure(context::fail);
    }

    Future<Void> listen(ListenOptions listen, TlsReloader tls) {
        return tls.bind(
                listen.tls(),
                material -> listen(listen, material),
                material -> server.updateSSLOptions(material.serverOptions()));
    }

    private Future<HttpServer> listen(ListenOptions listen, Optional<TlsMaterial> tls) {
        HttpServerOptions options = new HttpServerOptions().setHost(listen.ip()).setPort(listen.port());
        tls.ifPresent(material -> material.applyTo(options));
        // The guard of the connections knows HTTP/1.1 only.
        options.setHttp2ClearTextEnabled(false).setAlpnVersions(List.of(HttpVersion.HTTP_1_1));
        server = vertx.createHttpServer(options)
                .connectionHandler(connection -> onConnected(connection, options))
                .requestHandler(this::onRequest);
        return server.listen();
    }

    private void onConnected(HttpConnection connection, HttpServerOptions options) {
        GuardedConnection guarded = guard.open(connection, options);
        connections.put(connection, guarded);
        connection.closeHandler(ignored -> {
            connections.remove(connection);
            guarded.onClosed();
        });
    }

    private void onRequest(HttpServerRequest request) {
        Optional.ofNullable(connections.get(request.connection()))
                .ifPresent(connection -> connection.handleStreamed(request, router));
    }

    int actualPort() {
        return server.actualPort();
    }

    Future<Void> shutdown() {
        return server.close();
    }
}

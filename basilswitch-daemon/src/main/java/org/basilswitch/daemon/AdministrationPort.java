package org.basilswitch.daemon;

import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.basilswitch.daemon.telemetry.Meters;
import org.basilswitch.daemon.tls.TlsReloader;

/** The administration port: health, readiness, metrics, and the routes of the administration interface. */
final class AdministrationPort {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final HttpServer server;

    private AdministrationPort(HttpServer server) {
        this.server = server;
    }

    static AdministrationPort create(
            Vertx vertx,
            ListenOptions listen,
            Meters meters,
            BooleanSupplier ready,
            AdministrationRoutes routes,
            AdministrationRoutes.Parts parts) {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(listen.ip())
                .setPort(listen.port())
                .setSsl(listen.tls().isPresent());
        Router router = Router.router(vertx);
        router.get("/healthz").handler(context -> answer(context, true, "alive"));
        router.get("/readyz").handler(context -> answer(context, ready.getAsBoolean(), "ready"));
        router.get("/metrics").handler(context -> metrics(vertx, context, meters));
        routes.mount(router, parts);
        return new AdministrationPort(vertx.createHttpServer(options).requestHandler(router));
    }

    private static void answer(RoutingContext context, boolean good, String word) {
        context.response()
                .setStatusCode(good ? OK : SERVICE_UNAVAILABLE)
                .putHeader("Content-Type", "text/plain")
                .end((good ? word : "not " + word) + "\n");
    }

    private static void metrics(Vertx vertx, RoutingContext context, Meters meters) {
        vertx.executeBlocking(meters::scrape, false)
                .onSuccess(page -> context.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                        .end(page))
                .onFailure(context::fail);
    }

    Future<Void> listen(ListenOptions listen, TlsReloader tls) {
        return tls.apply(listen.tls(), material -> server.updateSSLOptions(material.serverOptions()))
                .compose(done -> server.listen())
                .mapEmpty();
    }

    int actualPort() {
        return server.actualPort();
    }

    Future<Void> shutdown() {
        return server.close();
    }
}

package org.basilswitch.daemon.http;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * HTTP server that reads requests whole, within limits over all connections, and shuts down in an order in which no
 * request is read that will not be answered: first each connection ends with its next response, later the listener and
 * the idle connections are closed, and the last responses end the others. Used on one event loop.
 */
public final class DrainingHttpServer {
    /** Delay of the timer that shows how far the event loop lags. */
    private static final Duration LAG_PROBE_DELAY = Duration.ofMillis(10);
    /** Lag of the event loop up to which requests are read soon enough. */
    private static final Duration MAX_LAG = Duration.ofMillis(50);
    /** Longest series of timers before connections are closed all the same. */
    private static final int MAX_LAG_PROBES = 10;

    private final BiConsumer<HttpServerRequest, byte[]> handler;
    private final ServerLimits limits;
    private final Clock clock;
    private final Scheduler scheduler;
    private final ConnectionGuard guard;
    private final Map<HttpConnection, GuardedConnection> connections = new IdentityHashMap<>();
    private final Promise<Void> allClosed = Promise.promise();
    private HttpServer server;
    private boolean draining;
    private boolean closing;

    private DrainingHttpServer(
            BiConsumer<HttpServerRequest, byte[]> handler,
            ServerLimits limits,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry) {
        this.handler = handler;
        this.limits = limits;
        this.clock = clock;
        this.scheduler = scheduler;
        this.guard = ConnectionGuard.create(
                limits.connections(), ConnectionGuard.SHORT_WRITE_QUEUE_BYTES, clock, scheduler, telemetry);
    }

    /**
     * Creates a server; it accepts no connections before {@link #listen}.
     *
     * @param handler receives requests with their whole bodies
     */
    public static DrainingHttpServer create(
            BiConsumer<HttpServerRequest, byte[]> handler,
            ServerLimits limits,
            Clock clock,
            Scheduler scheduler,
            Telemetry telemetry) {
        return new DrainingHttpServer(handler, limits, clock, scheduler, telemetry);
    }

    /** Starts listening. */
    public Future<HttpServer> listen(Vertx vertx, HttpServerOptions options, String host, int port) {
        // The guard of the connections knows HTTP/1.1 only.
        server = vertx.createHttpServer(options.setHttp2ClearTextEnabled(false))
                .connectionHandler(connection -> onConnected(connection, options))
                .requestHandler(this::onRequest);
        return server.listen(port, host);
    }

    private void onConnected(HttpConnection connection, HttpServerOptions options) {
        GuardedConnection guarded = guard.open(connection, options);
        connections.put(connection, guarded);
        connection.closeHandler(ignored -> {
            connections.remove(connection);
            guarded.onClosed();
            completeIfClosed();
        });
        if (closing) {
            closeIfIdle(connection, guarded);
        }
    }

    private void onRequest(HttpServerRequest request) {
        HttpConnection connection = request.connection();
        GuardedConnection guarded = connections.get(connection);
        if (guarded == null || guarded.isShed()) {
            return;
        }
        GuardedConnection.Request begun = guarded.begin(request, limits.maxBodyBytes());
        if (guarded.isShed()) {
            return;
        }
        Runnable onEnd = () -> {
            if (begun.end() && closing && guarded.openRequests() == 0) {
                connection.close();
            }
        };
        request.exceptionHandler(error -> onEnd.run());
        request.response().closeHandler(ignored -> onEnd.run());
        request.response().endHandler(ignored -> onEnd.run());
        request.response().headersEndHandler(ignored -> {
            if (draining) {
                request.response().putHeader("Connection", "close");
            }
        });
        begun.read(handler);
    }

    /** Returns the number of requests that have not ended. */
    public int openRequests() {
        return connections.values().stream()
                .mapToInt(GuardedConnection::openRequests)
                .sum();
    }

    /** From now on each connection is closed after its next response; new ones are still accepted. */
    public void beginDraining() {
        draining = true;
    }

    /**
     * Closes the listener and the idle connections; the others are closed after their responses.
     *
     * @return completes when all connections are closed
     */
    public Future<Void> close() {
        draining = true;
        Promise<Void> closed = Promise.promise();
        closeWhenResponsive(closed, 0);
        return closed.future();
    }

    /**
     * Closes the connections once the event loop does not lag, after a few attempts at most. While it lags, connections
     * wait to be accepted, which are lost when the listener is closed.
     */
    private void closeWhenResponsive(Promise<Void> closed, int attempts) {
        long dueNanos = clock.monotonicNanos() + LAG_PROBE_DELAY.toNanos();
        scheduler.schedule(LAG_PROBE_DELAY, () -> {
            boolean lagging = clock.monotonicNanos() - dueNanos > MAX_LAG.toNanos();
            if (lagging && attempts < MAX_LAG_PROBES) {
                closeWhenResponsive(closed, attempts + 1);
            } else {
                closeConnections().onComplete(closed);
            }
        });
    }

    private Future<Void> closeConnections() {
        closing = true;
        List.copyOf(connections.entrySet()).forEach(entry -> closeIfIdle(entry.getKey(), entry.getValue()));
        // Closes the connections without a request in progress, too, so that it has to come after they are read.
        Future<Void> listenerClosed = server == null ? Future.succeededFuture() : server.shutdown();
        completeIfClosed();
        return Future.all(listenerClosed, allClosed.future()).mapEmpty();
    }

    /** Closes a connection unless a request has arrived on it, however long the event loop has not looked at it. */
    private static void closeIfIdle(HttpConnection connection, GuardedConnection guarded) {
        if (guarded.openRequests() == 0) {
            guarded.readNow();
        }
        if (guarded.isIdle()) {
            connection.close();
        }
    }

    private void completeIfClosed() {
        if (closing && connections.isEmpty()) {
            allClosed.tryComplete();
        }
    }
}

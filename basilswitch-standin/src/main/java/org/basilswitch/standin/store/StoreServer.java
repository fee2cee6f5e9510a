package org.basilswitch.standin.store;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.ControlJson;
import org.basilswitch.standin.HttpResponses;
import org.basilswitch.standin.VertxTime;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.etcd.EtcdJson;
import org.basilswitch.store.etcd.EtcdMessages.ErrorResponse;
import org.basilswitch.store.etcd.EtcdMessages.WatchRequest;
import org.basilswitch.store.etcd.EtcdPaths;

/**
 * Serves the stand-in store: the etcd v3 JSON mapping over HTTP with the platform's rate and size limits and injectable
 * faults.
 *
 * <p>{@code GET /control/faults} and {@code POST /control/faults} read and set {@link StoreFaults};
 * {@code GET /control/counts} returns a {@link StoreCounts.Snapshot}. The faults do not affect these paths.
 */
public final class StoreServer extends VerticleBase {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String CONTROL = "/control/";
    private static final long LOST_ANSWER_SEED = 7;
    private static final long COMPACTION_INTERVAL_MS = 60_000;
    private static final Map<String, StoreCounts.Kind> KINDS = Map.of(
            EtcdPaths.RANGE, StoreCounts.Kind.RANGE,
            EtcdPaths.TXN, StoreCounts.Kind.TXN,
            EtcdPaths.COMPACTION, StoreCounts.Kind.COMPACTION,
            EtcdPaths.LEASE_GRANT, StoreCounts.Kind.LEASE_GRANT,
            EtcdPaths.LEASE_KEEP_ALIVE, StoreCounts.Kind.LEASE_KEEP_ALIVE,
            EtcdPaths.LEASE_REVOKE, StoreCounts.Kind.LEASE_REVOKE,
            EtcdPaths.WATCH, StoreCounts.Kind.WATCH);

    private final int requestedPort;
    private final StoreCounts counts = new StoreCounts();
    private final SplittableRandom random = new SplittableRandom(LOST_ANSWER_SEED);
    private final Set<HttpConnection> watchConnections = new HashSet<>();
    private final AtomicReference<StoreFaults> requestedFaults = new AtomicReference<>(StoreFaults.none());
    private StoreFaults faults = StoreFaults.none();
    private MemoryStore store;
    private StoreProtocol protocol;
    private RateLimit writes;
    private RateLimit reads;
    private HttpServer server;
    private long lastCompactionRevision;

    private StoreServer(int port) {
        this.requestedPort = port;
    }

    /** Starts a store on a loopback port; port 0 selects a free port. */
    public static Future<StoreServer> start(Vertx vertx, int port) {
        StoreServer store = new StoreServer(port);
        return vertx.deployVerticle(store).map(store);
    }

    @Override
    public Future<?> start() {
        VertxTime time = VertxTime.create(vertx, context);
        store = MemoryStore.create(time, time);
        protocol = StoreProtocol.of(store);
        writes = RateLimit.create(time, faults.writesPerSecond());
        reads = RateLimit.create(time, faults.readsPerSecond());
        server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        server.requestHandler(this::handle);
        vertx.setPeriodic(COMPACTION_INTERVAL_MS, ignored -> compactPreviousInterval());
        return server.listen(requestedPort, LOOPBACK);
    }

    private void compactPreviousInterval() {
        store.compact(lastCompactionRevision);
        lastCompactionRevision = store.revision();
    }

    /** Returns the port that the store listens on. */
    public int port() {
        return server.actualPort();
    }

    /** Sets the faults; they are in force when the future completes. */
    public Future<Void> setFaults(StoreFaults next) {
        Promise<Void> promise = Promise.promise();
        requestedFaults.set(next);
        context.runOnContext(ignored -> {
            apply(next);
            promise.complete();
        });
        return promise.future();
    }

    /** Returns the most recently requested faults, which may not be in force yet. */
    public StoreFaults faults() {
        return requestedFaults.get();
    }

    /** Returns the counts as seen by the store's event loop. */
    public Future<StoreCounts.Snapshot> counts() {
        Promise<StoreCounts.Snapshot> promise = Promise.promise();
        context.runOnContext(ignored -> promise.complete(counts.snapshot()));
        return promise.future();
    }

    /** Compacts the history up to a revision, as the platform does periodically. */
    public Future<Void> compact(long revision) {
        Promise<Void> promise = Promise.promise();
        context.runOnContext(ignored -> {
            store.compact(revision);
            promise.complete();
        });
        return promise.future();
    }

    private void apply(StoreFaults next) {
        if (next.writesPerSecond() != faults.writesPerSecond()) {
            writes.setRatePerSecond(next.writesPerSecond());
        }
        if (next.readsPerSecond() != faults.readsPerSecond()) {
            reads.setRatePerSecond(next.readsPerSecond());
        }
        faults = next;
        if (faults.down()) {
            Set.copyOf(watchConnections).forEach(HttpConnection::close);
        }
    }

    private void handle(HttpServerRequest request) {
        if (request.path().startsWith(CONTROL)) {
            request.body().onSuccess(body -> handleControl(request, body));
            return;
        }
        if (faults.down()) {
            request.connection().close();
            return;
        }
        Optional<StoreCounts.Kind> kind = Optional.ofNullable(KINDS.get(request.path()));
        if (kind.isEmpty() || request.method() != HttpMethod.POST) {
            respond(request, StoreProtocol.error(ErrorResponse.NOT_FOUND, "Not Found"));
            return;
        }
        counts.countCall(kind.get());
        request.body().onSuccess(body -> runAfterDelay(() -> dispatch(kind.get(), request, body)));
    }

    private void runAfterDelay(Runnable action) {
        if (faults.delayMs() == 0) {
            action.run();
        } else {
            vertx.setTimer(faults.delayMs(), ignored -> action.run());
        }
    }

    private void dispatch(StoreCounts.Kind kind, HttpServerRequest request, Buffer body) {
        if (faults.down()) {
            request.connection().close();
            return;
        }
        if (!(kind.isWrite() ? writes : reads).tryAcquire()) {
            counts.countRefusal();
            respond(request, StoreProtocol.error(ErrorResponse.RESOURCE_EXHAUSTED, "etcdserver: too many requests"));
            return;
        }
        if (kind == StoreCounts.Kind.WATCH) {
            openWatch(request, body);
            return;
        }
        Object result = protocol.call(kind, body.getBytes());
        if (result instanceof ErrorResponse) {
            counts.countRefusal();
        }
        if (random.nextDouble() < faults.lostAnswerRatio()) {
            counts.countLostAnswer();
            request.connection().close();
            return;
        }
        respond(request, result);
    }

    private void openWatch(HttpServerRequest request, Buffer body) {
        Optional<WatchRequest> decoded = EtcdJson.decode(body.getBytes(), WatchRequest.class);
        if (decoded.isEmpty() || decoded.get().createRequest() == null) {
            respond(request, StoreProtocol.error(ErrorResponse.INVALID_ARGUMENT, "the body is not a WatchRequest"));
            return;
        }
        watchConnections.add(request.connection());
        request.connection().closeHandler(ignored -> watchConnections.remove(request.connection()));
        WatchStream.open(store, vertx, request.response(), decoded.get().createRequest());
    }

    private static void respond(HttpServerRequest request, Object message) {
        int status = message instanceof ErrorResponse error ? status(error.code()) : 200;
        HttpResponses.json(request.response(), status, EtcdJson.encode(message));
    }

    private static int status(int code) {
        return switch (code) {
            case ErrorResponse.NOT_FOUND -> 404;
            case ErrorResponse.RESOURCE_EXHAUSTED -> 429;
            case ErrorResponse.UNAVAILABLE -> 503;
            default -> 400;
        };
    }

    private void handleControl(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case CONTROL + "counts" ->
                HttpResponses.json(request.response(), 200, RecordCodec.encode(counts.snapshot()));
            case CONTROL + "faults" -> handleFaults(request, body);
            default -> HttpResponses.json(request.response(), 404, RecordCodec.encode("unknown control path"));
        }
    }

    private void handleFaults(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.GET) {
            HttpResponses.json(request.response(), 200, RecordCodec.encode(faults));
            return;
        }
        Optional<StoreFaults> next = ControlJson.merge(faults, body);
        if (next.isEmpty() || !next.get().valid()) {
            HttpResponses.json(request.response(), 400, RecordCodec.encode("send the fields of GET /control/faults"));
            return;
        }
        requestedFaults.set(next.get());
        apply(next.get());
        HttpResponses.json(request.response(), 200, RecordCodec.encode(faults));
    }
}

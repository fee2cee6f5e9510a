package org.basilswitch.standin.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.ControlJson;
import org.basilswitch.standin.HttpResponses;

/**
 * Serves the stand-in host list: {@code GET /v1/hosts} returns the hosts' states as of a configurable lag ago.
 *
 * <p>{@code POST /control/host} with a {@link ListingChange} changes a host immediately; {@code POST /control/faults}
 * sets {@link ListFaults}.
 */
public final class HostListServer extends VerticleBase {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration SNAPSHOT_INTERVAL = Duration.ofMillis(500);
    private static final Duration HISTORY_RETENTION = Duration.ofMinutes(2);

    private final int requestedPort;
    private final Set<String> live;
    private final Set<String> leaving = new TreeSet<>();
    private final Deque<Snapshot> history = new ArrayDeque<>();
    private ListFaults faults;
    private HttpServer server;

    private HostListServer(int port, Set<String> hosts, Duration lag) {
        this.requestedPort = port;
        this.live = new TreeSet<>(hosts);
        this.faults = new ListFaults(false, lag.toMillis());
    }

    /** How a host is listed. */
    public enum Listing {
        LIVE,
        LEAVING,
        GONE
    }

    /** A change of one host's listing. */
    public record ListingChange(String host, Listing listing) {}

    /**
     * Faults that the server injects.
     *
     * @param down whether connections are closed without a response
     * @param lagMs age of the published states, in milliseconds
     */
    public record ListFaults(boolean down, long lagMs) {}

    private record Snapshot(long takenNanos, HostList list) {}

    /** Starts a server on a loopback port with all given hosts live; port 0 selects a free port. */
    public static Future<HostListServer> start(Vertx vertx, int port, Set<String> hosts, Duration lag) {
        HostListServer list = new HostListServer(port, hosts, lag);
        return vertx.deployVerticle(list).map(list);
    }

    @Override
    public Future<?> start() {
        recordSnapshot();
        vertx.setPeriodic(SNAPSHOT_INTERVAL.toMillis(), ignored -> recordSnapshot());
        server = vertx.createHttpServer();
        server.requestHandler(request -> request.body().onSuccess(body -> handle(request, body)));
        return server.listen(requestedPort, LOOPBACK);
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.actualPort();
    }

    /** Changes a host's listing immediately; the published list shows it after the lag. */
    public Future<Void> setListing(String host, Listing listing) {
        return onEventLoop(() -> change(new ListingChange(host, listing)));
    }

    /** Sets the faults; they are in force when the future completes. */
    public Future<Void> setFaults(ListFaults next) {
        return onEventLoop(() -> faults = next);
    }

    private Future<Void> onEventLoop(Runnable action) {
        Promise<Void> done = Promise.promise();
        context.runOnContext(ignored -> {
            action.run();
            done.complete();
        });
        return done.future();
    }

    private void change(ListingChange change) {
        live.remove(change.host());
        leaving.remove(change.host());
        switch (change.listing()) {
            case LIVE -> live.add(change.host());
            case LEAVING -> leaving.add(change.host());
            case GONE -> {
                // A GONE host is in neither set.
            }
        }
        recordSnapshot();
    }

    private void recordSnapshot() {
        long nowNanos = System.nanoTime();
        history.addLast(new Snapshot(nowNanos, HostList.of(Instant.now(), live, leaving)));
        while (history.size() > 1 && nowNanos - history.peekFirst().takenNanos() > HISTORY_RETENTION.toNanos()) {
            history.removeFirst();
        }
    }

    private HostList laggedList() {
        long limitNanos = System.nanoTime() - Duration.ofMillis(faults.lagMs()).toNanos();
        Snapshot shown = history.peekFirst();
        for (Snapshot published : history) {
            if (published.takenNanos() - limitNanos <= 0) {
                shown = published;
            }
        }
        Instant measuredAt = Instant.now().minusMillis(faults.lagMs());
        return HostList.of(measuredAt, shown.list().live(), shown.list().leaving());
    }

    private void handle(HttpServerRequest request, Buffer body) {
        switch (request.path()) {
            case "/v1/hosts" -> handleList(request);
            case "/control/host" -> handleListingChange(request, body);
            case "/control/faults" -> handleFaults(request, body);
            default -> HttpResponses.json(request.response(), 404, RecordCodec.encode("unknown path"));
        }
    }

    private void handleList(HttpServerRequest request) {
        if (faults.down()) {
            request.connection().close();
            return;
        }
        HttpResponses.json(request.response(), 200, RecordCodec.encode(laggedList()));
    }

    private void handleListingChange(HttpServerRequest request, Buffer body) {
        Optional<ListingChange> decoded = RecordCodec.decode(body.getBytes(), ListingChange.class)
                .filter(change -> change.host() != null && change.listing() != null);
        decoded.ifPresent(this::change);
        HttpResponses.json(
                request.response(),
                decoded.isPresent() ? 200 : 400,
                RecordCodec.encode(decoded.isPresent() ? "changed" : "send host and listing"));
    }

    private void handleFaults(HttpServerRequest request, Buffer body) {
        ControlJson.merge(faults, body).ifPresent(next -> faults = next);
        HttpResponses.json(request.response(), 200, RecordCodec.encode(faults));
    }
}

package org.basilswitch.daemon.livelist;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.HostAndPort;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.fleet.WorkerPlatform;
import org.basilswitch.placement.LiveHosts;
import org.basilswitch.time.Clock;

/**
 * Polls the platform's list of live hosts.
 *
 * <p>A list older than the previous one is ignored. When no list could be read for 30 s, all hosts are unknown. All
 * calls are made on the event loop of the context.
 */
public final class LiveHostReader implements LiveHosts, AutoCloseable {
    private static final String PATH = "/v1/hosts";
    private static final int HTTP_OK = 200;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration STALE_AFTER = Duration.ofSeconds(30);

    private final Vertx vertx;
    private final Context context;
    private final Clock clock;
    private final Telemetry telemetry;
    private final HostAndPort address;
    private final Duration pollInterval;
    private final HttpClient client;
    private final Set<String> everListed = new HashSet<>();
    private Optional<HostListDocument.ValidatedList> latestList = Optional.empty();
    private long lastReadNanos;
    private boolean readable = true;
    private boolean closed;

    private LiveHostReader(Vertx vertx, Context context, Clock clock, Telemetry telemetry, LiveListOptions options) {
        this.vertx = vertx;
        this.context = context;
        this.clock = clock;
        this.telemetry = telemetry;
        this.address = options.address();
        this.pollInterval = options.pollInterval();
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) REQUEST_TIMEOUT.toMillis()),
                new PoolOptions().setHttp1MaxSize(1));
    }

    /**
     * Starts polling.
     *
     * @param vertx runs timers and the client
     * @param context event loop of the entry host
     * @param clock monotonic time
     * @param telemetry receives an event when the list becomes unreadable or readable again
     * @param options address of the list and poll interval
     */
    public static LiveHostReader start(
            Vertx vertx, Context context, Clock clock, Telemetry telemetry, LiveListOptions options) {
        LiveHostReader reader = new LiveHostReader(vertx, context, clock, telemetry, options);
        context.runOnContext(ignored -> reader.poll());
        return reader;
    }

    private void poll() {
        if (closed) {
            return;
        }
        client.request(HttpMethod.GET, address.port(), address.host(), PATH)
                .compose(request ->
                        request.idleTimeout(REQUEST_TIMEOUT.toMillis()).send())
                .compose(response -> response.body().map(body -> decode(response, body)))
                .otherwise(Optional.empty())
                .onSuccess(read -> context.runOnContext(ignored -> onRead(read)));
    }

    private static Optional<HostListDocument.ValidatedList> decode(HttpClientResponse response, Buffer body) {
        return response.statusCode() == HTTP_OK ? HostListDocument.decode(body.getBytes()) : Optional.empty();
    }

    private void onRead(Optional<HostListDocument.ValidatedList> read) {
        read.ifPresent(this::applyUnlessOlder);
        if (read.isPresent() != readable) {
            readable = read.isPresent();
            telemetry.event(readable ? EventCode.LIVE_LIST_READ : EventCode.LIVE_LIST_UNREADABLE, "address=" + address);
        }
        vertx.setTimer(Math.max(1, pollInterval.toMillis()), ignored -> context.runOnContext(again -> poll()));
    }

    private void applyUnlessOlder(HostListDocument.ValidatedList next) {
        if (latestList.isPresent()
                && next.measuredAt().isBefore(latestList.get().measuredAt())) {
            return;
        }
        latestList = Optional.of(next);
        lastReadNanos = clock.monotonicNanos();
        everListed.addAll(next.live());
        everListed.addAll(next.leaving());
    }

    /** Returns the latest list; empty when none was read within the last 30 s. */
    public Optional<WorkerPlatform.LiveHostList> latest() {
        boolean stale = clock.monotonicNanos() - lastReadNanos > STALE_AFTER.toNanos();
        return latestList
                .filter(known -> !stale)
                .map(known -> new WorkerPlatform.LiveHostList(known.measuredAt(), known.live(), known.leaving()));
    }

    @Override
    public Presence presence(String host) {
        boolean stale = clock.monotonicNanos() - lastReadNanos > STALE_AFTER.toNanos();
        if (latestList.isEmpty() || stale) {
            return Presence.UNKNOWN;
        }
        if (latestList.get().leaving().contains(host)) {
            return Presence.LEAVING;
        }
        if (latestList.get().live().contains(host)) {
            return Presence.LIVE;
        }
        return everListed.contains(host) ? Presence.GONE : Presence.UNKNOWN;
    }

    @Override
    public void close() {
        closed = true;
        client.close();
    }
}

package org.basilswitch.daemon;

import javax.net.ssl.SSLContext;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** An entry host on loopback with an in-memory store, one queue that needs no API key, and one fake worker. */
final class SiteFixture implements AutoCloseable {
    static final String SITE = "test";
    static final String QUEUE = "quotes";
    static final long QUEUE_LIMIT_BYTES = 4L * 1024 * 1024;

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_MS = 10;

    final Vertx vertx = Vertx.vertx();
    final FakeWorker worker;
    final EntryHostServer server;
    final HttpClient client;

    private final String scheme;

    private SiteFixture(DaemonOptions options, int connections, HttpClient client, String scheme) {
        this.client = client;
        this.scheme = scheme;
        worker = FakeWorker.start(vertx);
        StoreFactory stores = (unused, clock, scheduler, telemetry) -> store(clock, scheduler, connections);
        EntryHostServer.Dependencies dependencies =
                new EntryHostServer.Dependencies(stores, ThriftFrameCodec.create(), AdministrationRoutes.none());
        server = EntryHostServer.start(vertx, options, dependencies).await();
        await(() -> status("/readyz") == 200);
    }

    static SiteFixture start() {
        return start(options());
    }

    static SiteFixture start(DaemonOptions options) {
        return new SiteFixture(options, 64, client().build(), "http");
    }

    static SiteFixture startWithConnections(int connections) {
        return new SiteFixture(options(), connections, client().build(), "http");
    }

    /** Starts a site whose callers' and administration ports use TLS, with a client that has the given TLS context. */
    static SiteFixture startTls(DaemonOptions options, SSLContext trusting) {
        return new SiteFixture(options, 64, client().sslContext(trusting).build(), "https");
    }

    private static HttpClient.Builder client() {
        return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT);
    }

    static DaemonOptions options() {
        return DaemonOptions.loopback(SITE, "entry1", "z1")
                .withPeerTiming(new DaemonOptions.PeerTiming(Duration.ofMillis(300), Duration.ofMillis(100), 0.01))
                .withShutdownOptions(new ShutdownOptions(Duration.ofMillis(300), Duration.ofSeconds(10)));
    }

    private PlatformStore store(Clock clock, Scheduler scheduler, int connections) {
        MemoryStore store = MemoryStore.create(clock, scheduler);
        Transaction.Builder records = Transaction.builder();
        List<ConfigurationRecord> all = List.of(
                new Pool("pool", 0, false),
                new Queue(QUEUE, "pool", true, false, 60_000, 10_000, QUEUE_LIMIT_BYTES, 1000),
                worker.host("w1", connections));
        for (ConfigurationRecord record : all) {
            String key = new StoreKeys(SITE).configuration(ConfigurationRecord.kind(record.getClass()), record.name());
            records.put(key, RecordCodec.encode(record));
        }
        store.commit(records.build());
        return MemoryStoreClient.create(store, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }

    URI requestsUri(String queue) {
        return URI.create(scheme + "://127.0.0.1:" + server.callerPort() + "/v1/queues/" + queue + "/requests");
    }

    HttpRequest.Builder post(HttpRequest.BodyPublisher body) {
        return HttpRequest.newBuilder(requestsUri(QUEUE)).timeout(TIMEOUT).POST(body);
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException | InterruptedException e) {
            throw new AssertionError("no answer to " + request, e);
        }
    }

    HttpResponse<String> administration(String path) {
        return send(HttpRequest.newBuilder(URI.create(scheme + "://127.0.0.1:" + server.administrationPort() + path))
                .timeout(TIMEOUT)
                .build());
    }

    int status(String path) {
        return administration(path).statusCode();
    }

    /** Returns the value of the first line of the metrics page that starts with a text; 0 when there is none. */
    double metric(String start) {
        Optional<String> line = administration("/metrics")
                .body()
                .lines()
                .filter(text -> text.startsWith(start))
                .findFirst();
        return line.map(text -> Double.parseDouble(text.substring(text.lastIndexOf(' ') + 1)))
                .orElse(0.0);
    }

    /** Sends raw text to the callers' port and returns what is received until the connection closes. */
    String sendRaw(String text) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.callerPort())) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    static void await(BooleanSupplier condition) {
        long limitNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limitNanos) {
                throw new AssertionError("condition not reached within " + TIMEOUT);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_MS);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}

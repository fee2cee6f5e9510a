package org.basilswitch.daemon.livelist;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.net.HostAndPort;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.daemon.AdministrationRoutes;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.WorkerClientOptions;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.daemon.store.EtcdStore;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.standin.hosts.HostListServer;
import org.basilswitch.standin.hosts.HostListServer.Listing;
import org.basilswitch.standin.store.StoreServer;
import org.basilswitch.standin.worker.ExecutionLog;
import org.basilswitch.standin.worker.ExecutionRecord;
import org.basilswitch.standin.worker.WorkerServer;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Checks with the backend servers' execution log that a leaving server gets no new work after 5 s, whichever way the
 * entry host learns that it is leaving.
 */
public final class LeavingServerTest {
    private static final Duration LIST_BOUND = Duration.ofSeconds(5);
    private static final Duration DIRECT_BOUND = Duration.ofSeconds(2);
    private static final String SITE = "leaving";
    private static final int REQUESTS = 60;
    private static final int CONCURRENT_REQUESTS = 12;

    private final Vertx vertx = Vertx.vertx();
    private final ExecutionLog executionLog = ExecutionLog.create();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private EtcdStore store;
    private HostListServer list;
    private WorkerServer leaving;
    private EntryHostServer entryHost;

    /** Ways in which an entry host learns that a server is leaving. */
    private enum LeaveMethod {
        HOST_LIST,
        SERVER_RESPONSE,
        CONFIGURATION
    }

    /**
     * Each method with the list's lag and the bound; the lag exceeds the bound where the list must not be the source.
     */
    @DataProvider
    public Object[][] leaveMethods() {
        return new Object[][] {
            {LeaveMethod.HOST_LIST, Duration.ofSeconds(3), LIST_BOUND},
            {LeaveMethod.SERVER_RESPONSE, Duration.ofMinutes(1), DIRECT_BOUND},
            {LeaveMethod.CONFIGURATION, Duration.ofMinutes(1), DIRECT_BOUND},
        };
    }

    /** Stops the entry host and the store client. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
        entryHost.close();
        store.close();
    }

    /** No request sent after the bound runs at the leaving server, and all of them succeed. */
    @Test(dataProvider = "leaveMethods")
    public void leavingServerGetsNoNewWorkAfterBound(LeaveMethod method, Duration lag, Duration bound)
            throws Exception {
        start(lag);
        assertTrue(send(REQUESTS, "before") > 0, "the server got no work while it was live");
        startLeaving(method);
        long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < bound.toNanos()) {
            send(1, "during");
            TimeUnit.MILLISECONDS.sleep(20);
        }
        assertEquals(send(REQUESTS, "after"), 0);
    }

    private void start(Duration lag) {
        StoreServer server = StoreServer.start(vertx, 0).await();
        EtcdStoreOptions storeOptions = EtcdStoreOptions.of(List.of(URI.create("http://127.0.0.1:" + server.port())));
        store = EtcdStore.create(vertx, vertx.getOrCreateContext(), storeOptions, Telemetry.none());
        leaving = worker("w1");
        WorkerServer staying = worker("w2");
        list = HostListServer.start(vertx, 0, Set.of("w1", "w2"), lag).await();
        List.of(
                        new Pool("pool", 0, false),
                        new Queue("quotes", "pool", true, true, 60_000, 5_000, 1 << 20, 1000),
                        host(leaving, HostState.ACTIVE),
                        host(staying, HostState.ACTIVE))
                .forEach(this::put);
        LiveListOptions liveList =
                new LiveListOptions(HostAndPort.create("127.0.0.1", list.port()), Duration.ofSeconds(1));
        DaemonOptions options = DaemonOptions.loopback(SITE, "entry-1", "z1")
                .withWorkerOptions(WorkerClientOptions.defaults().withLiveList(liveList));
        EntryHostServer.Dependencies dependencies = new EntryHostServer.Dependencies(
                (owner, clock, scheduler, telemetry) ->
                        EtcdStore.create(owner, owner.getOrCreateContext(), storeOptions, telemetry),
                ThriftFrameCodec.create(),
                AdministrationRoutes.none());
        entryHost = EntryHostServer.start(vertx, options, dependencies).await();
        awaitReady();
    }

    private WorkerServer worker(String name) {
        return WorkerServer.start(vertx, org.basilswitch.standin.worker.WorkerOptions.of(name), executionLog)
                .await();
    }

    private void awaitReady() {
        long limitNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!entryHost.hasBeenReady()) {
            assertTrue(System.nanoTime() < limitNanos, "the entry host is not ready");
            Thread.onSpinWait();
        }
    }

    private static Host host(WorkerServer worker, HostState state) {
        return new Host(worker.name(), "127.0.0.1:" + worker.port(), "z1", "r1", "pool", state, 8, 64, 64, 1L << 38, 0);
    }

    private void put(ConfigurationRecord item) {
        String key = new StoreKeys(SITE).configuration(ConfigurationRecord.kind(item.getClass()), item.name());
        store.commit(Transaction.builder().put(key, RecordCodec.encode(item)).build())
                .toCompletableFuture()
                .join()
                .getOrElseThrow(error -> new AssertionError(error.toString()));
    }

    private void startLeaving(LeaveMethod method) {
        switch (method) {
            case HOST_LIST -> list.setListing("w1", Listing.LEAVING).await();
            case SERVER_RESPONSE -> leaving.setDraining(true);
            case CONFIGURATION -> put(host(leaving, HostState.DRAINING));
        }
    }

    /**
     * Sends requests, more of them concurrently than one server has slots, and returns how many ran at the leaving
     * server.
     */
    private long send(int count, String phase) {
        long before = runsAtLeaving();
        for (int sent = 0; sent < count; sent += CONCURRENT_REQUESTS) {
            sendConcurrently(phase + sent);
        }
        return runsAtLeaving() - before;
    }

    private void sendConcurrently(String id) {
        URI uri = URI.create("http://127.0.0.1:" + entryHost.callerPort() + "/v1/queues/quotes/requests");
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            String body = "{\"testId\":\"" + id + "-" + i + "\",\"serviceMs\":20}";
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            answers.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            HttpResponse<String> response = answer.join();
            assertEquals(response.statusCode(), 200, response.body());
        }
    }

    private long runsAtLeaving() {
        return executionLog.snapshot().runs().stream()
                .map(ExecutionRecord::worker)
                .filter("w1"::equals)
                .count();
    }
}

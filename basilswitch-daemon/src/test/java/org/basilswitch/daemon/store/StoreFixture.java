package org.basilswitch.daemon.store;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import org.basilswitch.event.Telemetry;
import org.basilswitch.standin.store.StoreFaults;
import org.basilswitch.standin.store.StoreServer;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;

/** A simulated store server and the clients connected to it. */
final class StoreFixture implements AutoCloseable {
    static final long TIMEOUT_SECONDS = 5;

    private final Vertx vertx = Vertx.vertx();
    private final StoreServer server;
    private final List<EtcdStore> adapters = new ArrayList<>();

    private StoreFixture() throws Exception {
        server = await(StoreServer.start(vertx, 0).toCompletionStage());
        setFaults(StoreFaults.none().withRates(0, 0));
    }

    static StoreFixture start() throws Exception {
        return new StoreFixture();
    }

    EtcdStore adapter(UnaryOperator<EtcdStoreOptions> change) {
        return adapter(List.of(endpoint()), change);
    }

    EtcdStore adapter(List<URI> endpoints, UnaryOperator<EtcdStoreOptions> change) {
        EtcdStoreOptions options = change.apply(EtcdStoreOptions.of(endpoints));
        EtcdStore adapter = EtcdStore.create(vertx, vertx.getOrCreateContext(), options, Telemetry.none());
        adapters.add(adapter);
        return adapter;
    }

    URI endpoint() {
        return URI.create("http://127.0.0.1:" + server.port());
    }

    StoreServer server() {
        return server;
    }

    void setFaults(StoreFaults faults) throws Exception {
        await(server.setFaults(faults).toCompletionStage());
    }

    Vertx vertx() {
        return vertx;
    }

    static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    static <T> T right(CompletionStage<Either<StoreError, T>> stage) throws Exception {
        return await(stage).getOrElseThrow(error -> new AssertionError("store call failed: " + error));
    }

    static <T> StoreError left(CompletionStage<Either<StoreError, T>> stage) throws Exception {
        return await(stage).fold(error -> error, value -> {
            throw new AssertionError("store call succeeded: " + value);
        });
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String text(PlatformStore.Entry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws Exception {
        adapters.forEach(EtcdStore::close);
        await(vertx.close().toCompletionStage());
    }

    /** Collects the changes that a watch delivers. */
    static final class Deliveries implements PlatformStore.WatchListener {
        private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

        @Override
        public void onChanges(long revision, List<PlatformStore.Change> changes) {
            changes.forEach(change -> lines.add(
                    change.key() + "=" + change.entry().map(StoreFixture::text).orElse("deleted")));
        }

        @Override
        public void onCompacted(long compactRevision) {
            lines.add("compacted " + compactRevision);
        }

        /** Returns the next delivery; fails when none arrives within the timeout. */
        String next() throws InterruptedException {
            String line = lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (line == null) {
                throw new AssertionError("no delivery");
            }
            return line;
        }

        /** Waits for a delivery and returns whether none arrived within the duration. */
        boolean noneWithin(Duration duration) throws InterruptedException {
            return lines.poll(duration.toMillis(), TimeUnit.MILLISECONDS) == null;
        }
    }
}

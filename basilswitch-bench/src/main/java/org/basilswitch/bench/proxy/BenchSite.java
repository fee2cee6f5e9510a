package org.basilswitch.bench.proxy;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.daemon.AdministrationRoutes;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Site of one entry host with an in-memory store, one team, one queue and one backend server. */
final class BenchSite implements ProxyUnderTest, AutoCloseable {
    static final String SECRET = "bench-secret";

    private static final String SITE = "bench";
    private static final int UNREACHED_LIMIT = 100_000;
    private static final long READY_POLL_MS = 2;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final long threadId = EventLoops.threadId(vertx);
    private final EntryHostServer server;
    private final Duration coldStart;

    private BenchSite(int workerPort, int connections) {
        EntryHostServer.Dependencies dependencies = new EntryHostServer.Dependencies(
                (unused, clock, scheduler, telemetry) -> store(clock, scheduler, workerPort, connections),
                ThriftFrameCodec.create(),
                AdministrationRoutes.none());
        server = EntryHostServer.start(vertx, DaemonOptions.loopback(SITE, "entry1", "z1"), dependencies)
                .await();
        awaitReady();
        Instant processStart =
                Instant.ofEpochMilli(ManagementFactory.getRuntimeMXBean().getStartTime());
        coldStart = Duration.between(processStart, Instant.now());
    }

    static BenchSite start(int workerPort, int connections) {
        return new BenchSite(workerPort, connections);
    }

    private void awaitReady() {
        long limitNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!server.hasBeenReady()) {
            if (System.nanoTime() > limitNanos) {
                throw new IllegalStateException("the entry host did not become ready within " + READY_TIMEOUT);
            }
            try {
                Thread.sleep(READY_POLL_MS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static PlatformStore store(Clock clock, Scheduler scheduler, int workerPort, int connections) {
        MemoryStore store = MemoryStore.create(clock, scheduler);
        Transaction.Builder transaction = Transaction.builder();
        for (ConfigurationRecord record : records(workerPort, connections)) {
            String key = new StoreKeys(SITE).configuration(ConfigurationRecord.kind(record.getClass()), record.name());
            transaction.put(key, RecordCodec.encode(record));
        }
        store.commit(transaction.build());
        return MemoryStoreClient.create(store, scheduler, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }

    private static List<ConfigurationRecord> records(int workerPort, int connections) {
        return List.of(
                new Team("team", 1, UNREACHED_LIMIT),
                new TeamKey("key", "team", sha256Hex(SECRET)),
                new Pool("pool", 0, false),
                new Queue("bench", "pool", false, false, 60_000, 10_000, 1 << 20, UNREACHED_LIMIT),
                new Host(
                        "w1",
                        "127.0.0.1:" + workerPort,
                        "z1",
                        "r1",
                        "pool",
                        HostState.ACTIVE,
                        connections,
                        connections,
                        4,
                        1L << 30,
                        0));
    }

    private static String sha256Hex(String secret) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public long threadId() {
        return threadId;
    }

    @Override
    public int port() {
        return server.callerPort();
    }

    /** Returns the time from the start of this process until the entry host was ready. */
    Duration coldStart() {
        return coldStart;
    }

    @Override
    public void close() {
        server.close();
        vertx.close().await();
    }
}

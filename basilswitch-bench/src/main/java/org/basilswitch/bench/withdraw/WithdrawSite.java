package org.basilswitch.bench.withdraw;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.administration.AdministrationLimits;
import org.basilswitch.administration.OperatorRole;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.admin.AdministrationInterface;
import org.basilswitch.daemon.admin.AdministrationOptions;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.store.EtcdStore;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import org.basilswitch.standin.store.StoreFaults;
import org.basilswitch.standin.store.StoreServer;

/** Site with a stand-in store and complete entry hosts in one process, each with its own ports on loopback. */
final class WithdrawSite implements AutoCloseable {
    static final String OPERATOR_KEY = "withdraw-bench-operator";

    private static final int EVENT_LOOPS = 3;
    private static final int BODY_LIMIT_BYTES = 1 << 20;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final long READY_POLL_MS = 20;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    private final StoreServer store;
    private final List<EntryHostServer> entryHosts = new ArrayList<>();

    private WithdrawSite(int count) {
        store = StoreServer.start(vertx, 0).await();
        for (int i = 1; i <= count; i++) {
            DaemonOptions options = DaemonOptions.loopback("withdraw", "entry-" + i, "zone-" + i % 4);
            entryHosts.add(EntryHostServer.start(vertx, options, dependencies()).await());
        }
        awaitReady();
    }

    static WithdrawSite start(int entryHosts) {
        return new WithdrawSite(entryHosts);
    }

    private EntryHostServer.Dependencies dependencies() {
        EtcdStoreOptions options = EtcdStoreOptions.of(List.of(URI.create("http://127.0.0.1:" + store.port())));
        AdministrationOptions administration = new AdministrationOptions(
                List.of(new Settings.OperatorSettings("bench", sha256(OPERATOR_KEY), OperatorRole.ADMINISTRATOR)),
                new Settings.AdministrationSettings(AdministrationLimits.defaults(), Duration.ofSeconds(6)),
                BODY_LIMIT_BYTES);
        return new EntryHostServer.Dependencies(
                (ownVertx, clock, scheduler, telemetry) ->
                        EtcdStore.create(ownVertx, ownVertx.getOrCreateContext(), options, telemetry),
                ThriftFrameCodec.create(),
                AdministrationInterface.create(administration));
    }

    private void awaitReady() {
        long limitNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!entryHosts.stream().allMatch(EntryHostServer::hasBeenReady)) {
            if (System.nanoTime() > limitNanos) {
                throw new IllegalStateException("not all entry hosts became ready within " + READY_TIMEOUT);
            }
            sleep(READY_POLL_MS);
        }
    }

    static void sleep(long timeMs) {
        try {
            Thread.sleep(timeMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    static String sha256(String secret) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    void loseAnswers(double ratio) {
        store.setFaults(StoreFaults.none().withLostAnswerRatio(ratio));
    }

    long lostAnswers() {
        return store.counts().await().lostAnswers();
    }

    List<Integer> callerPorts() {
        return entryHosts.stream().map(EntryHostServer::callerPort).toList();
    }

    int administrationPort(int index) {
        return entryHosts.get(index).administrationPort();
    }

    int size() {
        return entryHosts.size();
    }

    Vertx vertx() {
        return vertx;
    }

    @Override
    public void close() {
        entryHosts.forEach(EntryHostServer::close);
        vertx.close().await();
    }
}

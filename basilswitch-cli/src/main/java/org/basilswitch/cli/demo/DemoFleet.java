package org.basilswitch.cli.demo;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.HostAndPort;
import org.basilswitch.administration.AdministrationLimits;
import org.basilswitch.administration.OperatorRole;
import org.basilswitch.bench.load.EntryTarget;
import org.basilswitch.cli.Secrets;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.VertxScheduler;
import org.basilswitch.daemon.admin.AdministrationInterface;
import org.basilswitch.daemon.admin.AdministrationOptions;
import org.basilswitch.daemon.livelist.LiveListOptions;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.store.EtcdStore;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.standin.hosts.HostListServer;
import org.basilswitch.standin.store.StoreServer;
import org.basilswitch.standin.worker.ExecutionLog;
import org.basilswitch.standin.worker.WorkerOptions;
import org.basilswitch.standin.worker.WorkerServer;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/** The demo's servers: stand-ins for the store, the live list and the workers, and entry hosts, all on free loopback ports. */
final class DemoFleet implements AutoCloseable {
    private static final int EVENT_LOOPS = 8;
    private static final int CHANGE_BODY_LIMIT_BYTES = 1 << 20;
    private static final Duration IN_FORCE_WAIT = Duration.ofSeconds(6);

    private final DemoSite site;
    private final Vertx vertx;
    private static final int WRITE_ATTEMPTS = 10;
    private static final Duration WORKER_REBOOT_TIME = Duration.ofSeconds(2);
    private static final Duration LIVE_LIST_LAG = Duration.ofSeconds(2);
    private static final Duration LIVE_LIST_POLL_INTERVAL = Duration.ofSeconds(1);

    private final ExecutionLog record = ExecutionLog.create();
    private final Map<String, WorkerServer> workers = new TreeMap<>();
    private final List<EntryHostServer> entryHosts = new ArrayList<>();
    private final String operatorKey = Secrets.create();
    private StoreServer store;
    private HostListServer liveList;
    private EtcdStore storeClient;
    private ConfigurationFollower follower;

    private DemoFleet(DemoSite site) {
        this.site = site;
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    }

    /** Starts the stand-ins, writes the site's records to the store and starts the given number of entry hosts. */
    static DemoFleet start(DemoSite site, int entryHostCount) {
        DemoFleet fleet = new DemoFleet(site);
        fleet.startStandIns();
        fleet.writeConfiguration();
        site.entryHosts().stream().limit(entryHostCount).forEach(fleet::startEntryHost);
        return fleet;
    }

    private void startStandIns() {
        store = StoreServer.start(vertx, 0).await();
        for (Host host : site.hosts()) {
            WorkerOptions options = WorkerOptions.of(host.name())
                    .withSlots(host.slots(), host.connections())
                    .withRebootTime(WORKER_REBOOT_TIME);
            workers.put(host.name(), WorkerServer.start(vertx, options, record).await());
        }
        liveList =
                HostListServer.start(vertx, 0, workers.keySet(), LIVE_LIST_LAG).await();
    }

    private void writeConfiguration() {
        storeClient = EtcdStore.create(vertx, vertx.getOrCreateContext(), storeOptions(), Telemetry.none());
        Map<String, String> addresses = new TreeMap<>();
        workers.forEach((name, worker) -> addresses.put(name, "127.0.0.1:" + worker.port()));
        StoreKeys keys = new StoreKeys(site.name());
        Transaction.Builder records = Transaction.builder();
        for (ConfigurationRecord item : site.records(addresses)) {
            String key = keys.configuration(ConfigurationRecord.kind(item.getClass()), item.name());
            records.compare(key, Transaction.ABSENT).put(key, RecordCodec.encode(item));
        }
        write(records.build());
        followConfiguration(keys);
    }

    /** Writes to the empty store; a conflict after a lost response means that the write took effect. */
    private void write(Transaction records) {
        boolean answerLost = false;
        for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
            Either<StoreError, CommitResult> result =
                    storeClient.commit(records).toCompletableFuture().join();
            if (result.isRight() && (answerLost || result.get() instanceof CommitResult.Committed)) {
                return;
            }
            if (result.isRight()) {
                throw new IllegalStateException("the stand-in store is not empty");
            }
            answerLost |= result.getLeft() instanceof StoreError.Unknown;
        }
        throw new IllegalStateException("the stand-in store does not respond; the machine may be overloaded");
    }

    private void followConfiguration(StoreKeys keys) {
        VertxScheduler scheduler = VertxScheduler.create(vertx, vertx.getOrCreateContext());
        follower = ConfigurationFollower.create(keys, storeClient, scheduler, Telemetry.none());
        follower.start();
    }

    private EtcdStoreOptions storeOptions() {
        return EtcdStoreOptions.of(List.of(URI.create("http://127.0.0.1:" + store.port())));
    }

    private void startEntryHost(Settings.EntryHostSettings settings) {
        DaemonOptions options = DaemonOptions.loopback(site.name(), settings.name(), settings.zone())
                .withWorkerOptions(org.basilswitch.daemon.WorkerClientOptions.defaults()
                        .withLiveList(new LiveListOptions(
                                HostAndPort.create("127.0.0.1", liveList.port()), LIVE_LIST_POLL_INTERVAL)));
        EntryHostServer.Dependencies dependencies = new EntryHostServer.Dependencies(
                (hostVertx, clock, scheduler, telemetry) ->
                        EtcdStore.create(hostVertx, hostVertx.getOrCreateContext(), storeOptions(), telemetry),
                ThriftFrameCodec.create(),
                AdministrationInterface.create(administration()));
        entryHosts.add(EntryHostServer.start(vertx, options, dependencies).await());
    }

    Map<String, WorkerServer> workers() {
        return workers;
    }

    HostListServer liveList() {
        return liveList;
    }

    PlatformStore platformStore() {
        return storeClient;
    }

    private AdministrationOptions administration() {
        Settings.OperatorSettings operator =
                new Settings.OperatorSettings("demo", Secrets.sha256Hex(operatorKey), OperatorRole.ADMINISTRATOR);
        return new AdministrationOptions(
                List.of(operator),
                new Settings.AdministrationSettings(AdministrationLimits.defaults(), IN_FORCE_WAIT),
                CHANGE_BODY_LIMIT_BYTES);
    }

    /** Returns the key of an operator with the administrator role. */
    String operatorKey() {
        return operatorKey;
    }

    Vertx vertx() {
        return vertx;
    }

    ExecutionLog record() {
        return record;
    }

    StoreServer store() {
        return store;
    }

    SiteConfiguration configuration() {
        return follower.current();
    }

    List<EntryTarget> targets() {
        List<EntryTarget> targets = new ArrayList<>();
        for (int i = 0; i < entryHosts.size(); i++) {
            EntryHostServer host = entryHosts.get(i);
            String name = site.entryHosts().get(i).name();
            targets.add(new EntryTarget(name, host.callerPort(), host.administrationPort()));
        }
        return targets;
    }

    boolean allReady() {
        return entryHosts.stream().allMatch(EntryHostServer::hasBeenReady);
    }

    @Override
    public void close() {
        follower.close();
        storeClient.close();
        entryHosts.forEach(EntryHostServer::close);
        vertx.close().await();
    }
}

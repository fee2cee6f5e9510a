package org.basilswitch.cli.demo;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.bench.load.EntryTarget;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.daemon.AdministrationRoutes;
import org.basilswitch.daemon.DaemonOptions;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.VertxScheduler;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.store.EtcdStore;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.standin.store.StoreServer;
import org.basilswitch.standin.worker.RunRecord;
import org.basilswitch.standin.worker.WorkerOptions;
import org.basilswitch.standin.worker.WorkerServer;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/** The demo's servers: the stand-in store and workers, and entry hosts, all on free loopback ports. */
final class DemoFleet implements AutoCloseable {
    private static final int EVENT_LOOPS = 8;

    private final DemoSite site;
    private final Vertx vertx;
    private final RunRecord record = RunRecord.create();
    private final Map<String, WorkerServer> workers = new TreeMap<>();
    private final List<EntryHostServer> entryHosts = new ArrayList<>();
    private StoreServer store;
    private EtcdStore adapter;
    private ConfigurationFollower follower;

    private DemoFleet(DemoSite site) {
        this.site = site;
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    }

    /** Starts a site with a number of entry hosts. */
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
            WorkerOptions options = WorkerOptions.of(host.name()).withSlots(host.slots(), host.connections());
            workers.put(host.name(), WorkerServer.start(vertx, options, record).await());
        }
    }

    private void writeConfiguration() {
        adapter = EtcdStore.create(vertx, vertx.getOrCreateContext(), storeOptions(), Telemetry.none());
        Map<String, String> addresses = new TreeMap<>();
        workers.forEach((name, worker) -> addresses.put(name, "127.0.0.1:" + worker.port()));
        StoreKeys keys = new StoreKeys(site.name());
        Transaction.Builder records = Transaction.builder();
        for (ConfigurationRecord item : site.records(addresses)) {
            String key = keys.configuration(ConfigurationRecord.kind(item.getClass()), item.name());
            records.compare(key, Transaction.ABSENT).put(key, RecordCodec.encode(item));
        }
        CommitResult result = adapter.commit(records.build())
                .toCompletableFuture()
                .join()
                .getOrElseThrow(error -> new IllegalStateException("the stand-in store refused: " + error));
        if (result instanceof CommitResult.Conflict) {
            throw new IllegalStateException("the stand-in store is not empty");
        }
        follow(keys);
    }

    private void follow(StoreKeys keys) {
        VertxScheduler scheduler = VertxScheduler.create(vertx, vertx.getOrCreateContext());
        follower = ConfigurationFollower.create(keys, adapter, scheduler, Telemetry.none());
        follower.start();
    }

    private EtcdStoreOptions storeOptions() {
        return EtcdStoreOptions.of(List.of(URI.create("http://127.0.0.1:" + store.port())));
    }

    private void startEntryHost(Settings.EntryHostSettings settings) {
        DaemonOptions options = DaemonOptions.loopback(site.name(), settings.name(), settings.zone());
        EntryHostServer.Parts parts = new EntryHostServer.Parts(
                (hostVertx, clock, scheduler, telemetry) ->
                        EtcdStore.create(hostVertx, hostVertx.getOrCreateContext(), storeOptions(), telemetry),
                ThriftFrameCodec.create(),
                AdministrationRoutes.none());
        entryHosts.add(EntryHostServer.start(vertx, options, parts).await());
    }

    Vertx vertx() {
        return vertx;
    }

    RunRecord record() {
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
        return entryHosts.stream().allMatch(EntryHostServer::ready);
    }

    @Override
    public void close() {
        follower.close();
        adapter.close();
        entryHosts.forEach(EntryHostServer::close);
        vertx.close().await();
    }
}

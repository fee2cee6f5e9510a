package org.basilswitch.cli.standin;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.cli.LogSetup;
import org.basilswitch.cli.SettingsFiles;
import org.basilswitch.cli.demo.DemoKeys;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.Team;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.store.EtcdStore;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.standin.store.StoreFaults;
import org.basilswitch.standin.store.StoreServer;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the stand-in for the platform's store. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description =
                "Runs the stand-in for the platform's store; POST /control/faults injects faults, GET /control/counts returns"
                        + " the numbers of calls.")
final class StoreCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--port", defaultValue = "2379", description = "Loopback port; default 2379.")
    private int port;

    @Option(
            names = "--writes-per-second",
            defaultValue = "300",
            description = "Limit of writes per second; 0 for no limit.")
    private long writesPerSecond;

    @Option(
            names = "--reads-per-second",
            defaultValue = "2000",
            description = "Limit of reads per second; 0 for no limit.")
    private long readsPerSecond;

    @ArgGroup(exclusive = false)
    private Preload preload;

    /** Settings whose records are written to the store before it is announced as ready. */
    static final class Preload {
        @ArgGroup(exclusive = false, multiplicity = "1")
        private SettingsFiles files;

        @Option(
                names = "--key-prefix",
                required = true,
                description =
                        "Creates a key for each team; its secret is this prefix and the team's name. For trials only.")
        private String keyPrefix;
    }

    @Override
    public Integer call() throws InterruptedException {
        LogSetup.quiet();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StoreServer server = StoreServer.start(vertx, port).await();
        server.setFaults(StoreFaults.none().withRates(writesPerSecond, readsPerSecond))
                .await();
        if (preload != null && !preload(vertx, server)) {
            return ExitCode.SOFTWARE;
        }
        spec.commandLine().getOut().println("store ready on 127.0.0.1:" + server.port());
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return 0;
    }

    private boolean preload(Vertx vertx, StoreServer server) {
        Optional<Settings> settings = preload.files.load(spec.commandLine().getErr());
        if (settings.isEmpty()) {
            return false;
        }
        List<ConfigurationRecord> records = new ArrayList<>(settings.get().records());
        for (ConfigurationRecord item : settings.get().records()) {
            if (item instanceof Team team) {
                records.add(DemoKeys.record(preload.keyPrefix, team));
            }
        }
        StoreKeys keys = new StoreKeys(settings.get().site());
        Transaction.Builder writes = Transaction.builder();
        for (ConfigurationRecord item : records) {
            String key = keys.configuration(ConfigurationRecord.kind(item.getClass()), item.name());
            writes.put(key, RecordCodec.encode(item));
        }
        EtcdStoreOptions options = EtcdStoreOptions.of(List.of(URI.create("http://127.0.0.1:" + server.port())));
        try (EtcdStore adapter = EtcdStore.create(vertx, vertx.getOrCreateContext(), options, Telemetry.none())) {
            return adapter.commit(writes.build()).toCompletableFuture().join().isRight();
        }
    }
}

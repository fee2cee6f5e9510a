package org.basilswitch.cli;

import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.apache.logging.log4j.LogManager;
import org.basilswitch.daemon.EntryHostServer;
import org.basilswitch.daemon.SettingsMapper;
import org.basilswitch.daemon.admin.AdministrationInterface;
import org.basilswitch.daemon.admin.AdministrationOptions;
import org.basilswitch.daemon.peer.ThriftFrameCodec;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.store.EtcdStore;
import org.basilswitch.daemon.store.EtcdStoreOptions;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs one entry host until the process receives SIGTERM. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one entry host until SIGTERM.",
            "It then reports that it is not ready, waits for the load balancer to notice, completes open requests, leaves the"
                    + " membership and exits."
        })
final class ServeCommand implements Callable<Integer> {
    private static final int EVENT_LOOPS = 1;

    @Spec
    private CommandSpec spec;

    @Mixin
    private SettingsFiles files;

    @Option(
            names = "--node",
            required = true,
            paramLabel = "NAME",
            description = "Name of this entry host in the settings.")
    private String node;

    @Option(
            names = "--log-format",
            defaultValue = "json",
            paramLabel = "FORMAT",
            description = "Log lines on standard error: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
    private LogSetup.Format logFormat;

    @Option(
            names = "--log-level",
            defaultValue = "info",
            paramLabel = "LEVEL",
            description = "Lowest level that is logged: debug, info, warn or error (default: ${DEFAULT-VALUE}).")
    private String logLevel;

    @Override
    public Integer call() {
        LogSetup.configure(logFormat, logLevel);
        PrintWriter errors = spec.commandLine().getErr();
        Optional<Settings> settings = files.load(errors);
        if (settings.isEmpty()) {
            return ExitCode.SOFTWARE;
        }
        Optional<Settings.EntryHostSettings> entryHost = settings.get().entryHost(node);
        if (entryHost.isEmpty()) {
            errors.println("no entry host " + node + " in the settings: add it under entryHosts or name another");
            return ExitCode.SOFTWARE;
        }
        return serve(settings.get(), entryHost.get());
    }

    private static int serve(Settings settings, Settings.EntryHostSettings host) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        EntryHostServer server;
        try {
            server = EntryHostServer.start(vertx, SettingsMapper.daemon(settings, host), dependencies(settings))
                    .await();
        } catch (RuntimeException e) {
            vertx.close().await();
            return ExitCode.SOFTWARE;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server, vertx), "shutdown"));
        waitForever();
        return ExitCode.OK;
    }

    private static EntryHostServer.Dependencies dependencies(Settings settings) {
        EtcdStoreOptions storeOptions = SettingsMapper.store(settings);
        return new EntryHostServer.Dependencies(
                (vertx, clock, scheduler, telemetry) ->
                        EtcdStore.create(vertx, vertx.getOrCreateContext(), storeOptions, telemetry),
                ThriftFrameCodec.create(),
                AdministrationInterface.create(AdministrationOptions.of(settings)));
    }

    private static void stop(EntryHostServer server, Vertx vertx) {
        server.shutdown().await();
        vertx.close().await();
        LogManager.shutdown();
    }

    private static void waitForever() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

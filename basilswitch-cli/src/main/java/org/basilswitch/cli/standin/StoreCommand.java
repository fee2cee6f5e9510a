package org.basilswitch.cli.standin;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.cli.LogSetup;
import org.basilswitch.standin.store.StoreFaults;
import org.basilswitch.standin.store.StoreServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs the stand-in store. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Runs the stand-in store; POST /control/faults sets its faults, GET /control/counts its calls.")
final class StoreCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--port", defaultValue = "2379", description = "Loopback port; default 2379.")
    private int port;

    @Option(names = "--writes-per-second", defaultValue = "300", description = "Rate of writes; 0 for none.")
    private long writesPerSecond;

    @Option(names = "--reads-per-second", defaultValue = "2000", description = "Rate of reads; 0 for none.")
    private long readsPerSecond;

    @Override
    public Integer call() throws InterruptedException {
        LogSetup.quiet();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StoreServer server = StoreServer.start(vertx, port).await();
        server.setFaults(StoreFaults.none().withRates(writesPerSecond, readsPerSecond))
                .await();
        spec.commandLine().getOut().println("store ready on 127.0.0.1:" + server.port());
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return 0;
    }
}

package org.basilswitch.cli.standin;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.cli.LogSetup;
import org.basilswitch.standin.hosts.HostListServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs the stand-in for the platform's list of live hosts. */
@Command(
        name = "live-list",
        mixinStandardHelpOptions = true,
        description = "Runs the stand-in for the platform's list of live hosts; POST /control/host changes a host.")
final class LiveListCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--port", defaultValue = "2380", description = "Loopback port; default 2380.")
    private int port;

    @Option(
            names = "--lag-ms",
            defaultValue = "3000",
            description = "Age of the host states that the list shows; default 3000 ms.")
    private long lagMs;

    @Parameters(paramLabel = "HOST", description = "Names of the live hosts.")
    private List<String> hosts = List.of();

    @Override
    public Integer call() throws InterruptedException {
        LogSetup.quiet();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        HostListServer server = HostListServer.start(vertx, port, Set.copyOf(hosts), Duration.ofMillis(lagMs))
                .await();
        spec.commandLine().getOut().println("live-list ready on 127.0.0.1:" + server.port());
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return 0;
    }
}

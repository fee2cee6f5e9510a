package org.basilswitch.cli.standin;

import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.basilswitch.cli.LogSetup;
import org.basilswitch.standin.worker.ExecutionLog;
import org.basilswitch.standin.worker.ServiceTime;
import org.basilswitch.standin.worker.WorkerOptions;
import org.basilswitch.standin.worker.WorkerServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs stand-ins for backend servers (workers) on consecutive ports. */
@Command(
        name = "worker",
        mixinStandardHelpOptions = true,
        description = "Runs stand-in workers; GET /control/record returns the requests they ran.")
final class WorkerCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--port", required = true, description = "Loopback port of the first worker.")
    private int port;

    @Option(names = "--count", defaultValue = "1", description = "Number of workers; they share one execution record.")
    private int count;

    @Option(
            names = "--name",
            defaultValue = "host",
            description = "Name of a single worker, or prefix of the names of several.")
    private String name;

    @Option(names = "--first", defaultValue = "1", description = "Number in the name of the first of several workers.")
    private int first;

    @Option(names = "--slots", defaultValue = "8", description = "Requests that a worker runs concurrently; default 8.")
    private int slots;

    @Option(
            names = "--connections",
            defaultValue = "64",
            description = "Most open connections of a worker; default 64.")
    private int connections;

    @Option(
            names = "--service-time",
            defaultValue = "exponential",
            description = "Distribution of service times: fixed, exponential (default) or uniform.")
    private String serviceTime;

    @Option(names = "--mean-ms", defaultValue = "20", description = "Mean service time; default 20 ms.")
    private double meanMs;

    @Override
    public Integer call() throws InterruptedException {
        LogSetup.quiet();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        ExecutionLog record = ExecutionLog.create();
        ServiceTime distribution = ServiceTime.of(serviceTime, meanMs);
        for (int i = 0; i < count; i++) {
            String workerName = count == 1 ? name : String.format("%s-%02d", name, first + i);
            WorkerOptions options = WorkerOptions.of(workerName)
                    .withPort(port + i)
                    .withSlots(slots, connections)
                    .withServiceTime(distribution);
            WorkerServer.start(vertx, options, record).await();
        }
        spec.commandLine().getOut().println(count + " workers ready from 127.0.0.1:" + port);
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return 0;
    }
}

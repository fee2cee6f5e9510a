package org.basilswitch.cli.bench;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.concurrent.Callable;

import org.basilswitch.bench.proxy.ProxyBench;
import org.basilswitch.bench.proxy.ProxyBenchOptions;
import org.basilswitch.bench.proxy.ProxyReport;
import org.basilswitch.cli.LogSetup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code basilswitch bench proxy}: compares an entry host with a minimal pass-through proxy. */
@Command(
        name = "proxy",
        mixinStandardHelpOptions = true,
        description = "Compares requests through one entry host with a minimal Vert.x pass-through proxy, on loopback.")
public final class ProxyCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--rounds",
            defaultValue = "5",
            description = "Rounds for each of the two (default: ${DEFAULT-VALUE}).")
    private int rounds;

    @Option(
            names = "--round-seconds",
            defaultValue = "4",
            description = "Length of a round in seconds (default: ${DEFAULT-VALUE}).")
    private int roundSeconds;

    @Option(
            names = "--connections",
            defaultValue = "64",
            description = "Callers' connections (default: ${DEFAULT-VALUE}).")
    private int connections;

    @Option(
            names = "--body-bytes",
            defaultValue = "512",
            description = "Size of each body in bytes (default: ${DEFAULT-VALUE}).")
    private int bodyBytes;

    @Override
    public Integer call() {
        LogSetup.quiet();
        PrintWriter out = spec.commandLine().getOut();
        ProxyBenchOptions options =
                new ProxyBenchOptions(rounds, Duration.ofSeconds(roundSeconds), connections, bodyBytes);
        ProxyReport report = ProxyBench.run(options, line -> {
            out.println(line);
            out.flush();
        });
        out.println();
        out.print(report.text());
        out.flush();
        return report.targetMet() ? 0 : 1;
    }
}

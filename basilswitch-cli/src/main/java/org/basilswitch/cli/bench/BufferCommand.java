package org.basilswitch.cli.bench;

import java.time.Duration;
import java.util.concurrent.Callable;

import org.basilswitch.bench.fleet.FleetBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench buffer}: measures the cost of spare hosts and the moves between pools, by lending policy. */
@Command(
        name = "buffer",
        mixinStandardHelpOptions = true,
        description =
                "Simulates shifting demand and host failures in virtual time and prints the cost of the spare pool by policy.")
final class BufferCommand implements Callable<Integer> {
    @Option(names = "--hours", description = "Virtual hours (default: ${DEFAULT-VALUE}).")
    private int hours = 24;

    @Option(names = "--seed", description = "Seed (default: ${DEFAULT-VALUE}).")
    private long seed = 1;

    @Override
    public Integer call() {
        FleetBench.printBuffers(System.out, Duration.ofHours(hours), seed);
        return 0;
    }
}

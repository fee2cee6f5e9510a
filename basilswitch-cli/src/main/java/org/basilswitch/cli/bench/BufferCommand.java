package org.basilswitch.cli.bench;

import java.time.Duration;
import java.util.concurrent.Callable;

import org.basilswitch.bench.fleet.FleetBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench buffer}: cost of the buffer and moves, by lending policy. */
@Command(
        name = "buffer",
        mixinStandardHelpOptions = true,
        description = "Runs moving demand and failures on virtual time and prints the buffer's cost by policy.")
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

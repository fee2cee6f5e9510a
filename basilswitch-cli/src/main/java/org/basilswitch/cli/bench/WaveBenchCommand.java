package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.fleet.FleetBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench wave}: compares roll-out times of maintenance waves with their lower bounds. */
@Command(
        name = "wave",
        mixinStandardHelpOptions = true,
        description = "Simulates maintenance waves in virtual time and prints roll-out times with their lower bounds.")
final class WaveBenchCommand implements Callable<Integer> {
    @Option(names = "--seeds", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
    private int seeds = 20;

    @Override
    public Integer call() {
        return FleetBench.printWaves(System.out, seeds) ? 0 : 1;
    }
}

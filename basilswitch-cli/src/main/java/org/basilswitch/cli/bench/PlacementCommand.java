package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.placement.PlacementBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench placement}: measures placement strategies under bursts. */
@Command(
        name = "placement",
        mixinStandardHelpOptions = true,
        description = "Compares placement strategies with baselines, in virtual time.")
final class PlacementCommand implements Callable<Integer> {
    @Option(names = "--entry-hosts", description = "Number of entry hosts (default: ${DEFAULT-VALUE}).")
    private int entryHosts = 9;

    @Option(names = "--seed", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long seed = 1;

    @Option(names = "--seeds", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
    private int seeds = 1;

    @Override
    public Integer call() {
        PlacementBench.run(System.out, entryHosts, seed, seeds);
        return 0;
    }
}

package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.faults.FaultSeeds;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench faults}: runs the randomised fault simulation. */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Runs the production classes of entry hosts in virtual time under random faults and checks the guarantees.")
final class FaultsCommand implements Callable<Integer> {
    @Option(names = "--seed", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long seed = 1;

    @Option(names = "--seeds", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
    private int seeds = 1;

    @Option(names = "--minutes", description = "Virtual minutes of faults for each seed (default: ${DEFAULT-VALUE}).")
    private int minutes = 10;

    @Option(names = "--threads", description = "Seeds that run in parallel (default: ${DEFAULT-VALUE}).")
    private int threads = 2;

    @Override
    public Integer call() throws Exception {
        int broken = FaultSeeds.of(seed, seeds, minutes, threads).run(System.out);
        return broken == 0 ? 0 : 1;
    }
}

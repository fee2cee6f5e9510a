package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.shares.SharesBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench shares}: measures deviation from shares, return of lent capacity, and effects of bursts. */
@Command(
        name = "shares",
        mixinStandardHelpOptions = true,
        description = "Compares the deviation from teams' shares with baselines, in virtual time.")
final class SharesCommand implements Callable<Integer> {
    @Option(names = "--entry-hosts", description = "Number of entry hosts (default: ${DEFAULT-VALUE}).")
    private int entryHosts = 9;

    @Option(names = "--seed", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long seed = 1;

    @Option(names = "--seeds", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
    private int seeds = 1;

    @Override
    public Integer call() {
        SharesBench.run(System.out, entryHosts, seed, seeds);
        return 0;
    }
}

package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.retries.RetriesBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench retries}: measures retry amplification, and ejection and return of servers. */
@Command(
        name = "retries",
        mixinStandardHelpOptions = true,
        description = "Measures retries and ejection while workers fail or hang, in virtual time.")
final class RetriesCommand implements Callable<Integer> {
    @Option(names = "--entry-hosts", description = "Number of entry hosts (default: ${DEFAULT-VALUE}).")
    private int entryHosts = 9;

    @Option(names = "--seed", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long seed = 1;

    @Override
    public Integer call() {
        RetriesBench.run(System.out, entryHosts, seed);
        return 0;
    }
}

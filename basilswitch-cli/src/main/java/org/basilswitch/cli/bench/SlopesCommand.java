package org.basilswitch.cli.bench;

import java.time.Duration;
import java.util.concurrent.Callable;

import org.basilswitch.bench.slopes.SlopeBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code basilswitch bench slopes}: control cost by size, the tables of docs/CAPACITY.md. */
@Command(
        name = "slopes",
        mixinStandardHelpOptions = true,
        description = "Measures an entry host's control cost at several sizes and prints docs/CAPACITY.md's tables.")
final class SlopesCommand implements Callable<Integer> {
    @Option(names = "--seconds", description = "Virtual seconds for each size (default: ${DEFAULT-VALUE}).")
    private int seconds = 60;

    @Override
    public Integer call() {
        SlopeBench.print(System.out, Duration.ofSeconds(seconds));
        return 0;
    }
}

package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.claims.ClaimsBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** {@code basilswitch bench claims}: measures request claims with a store of limited write rate. */
@Command(
        name = "claims",
        mixinStandardHelpOptions = true,
        description = "Compares grouped writes of request claims with one write per claim, in virtual time.")
final class ClaimsCommand implements Callable<Integer> {
    @Option(names = "--seconds", description = "Virtual seconds for each rate (default: ${DEFAULT-VALUE}).")
    private int seconds = 20;

    @Override
    public Integer call() {
        ClaimsBench.run(seconds, System.out);
        return ExitCode.OK;
    }
}

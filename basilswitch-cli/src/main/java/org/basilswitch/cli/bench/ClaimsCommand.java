package org.basilswitch.cli.bench;

import java.util.concurrent.Callable;

import org.basilswitch.bench.claims.ClaimsBench;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Option;

/** {@code basilswitch bench claims}: request claims against a store of limited write rate. */
@Command(
        name = "claims",
        mixinStandardHelpOptions = true,
        description = "Measures request claims in groups beside one write for each claim, on virtual time.")
final class ClaimsCommand implements Callable<Integer> {
    @Option(names = "--seconds", description = "Virtual seconds for each rate (default: ${DEFAULT-VALUE}).")
    private int seconds = 20;

    @Override
    public Integer call() {
        ClaimsBench.run(seconds, System.out);
        return ExitCode.OK;
    }
}

package org.basilswitch.cli.bench;

import java.time.Duration;
import java.util.concurrent.Callable;

import org.basilswitch.bench.withdraw.WithdrawBench;
import org.basilswitch.bench.withdraw.WithdrawOptions;
import org.basilswitch.bench.withdraw.WithdrawReport;
import org.basilswitch.cli.LogSetup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures how long a withdrawn key is still taken. */
@Command(
        name = "withdraw",
        mixinStandardHelpOptions = true,
        description =
                "Withdraws keys until every entry host refuses them; in every second sample the store loses answers.")
final class WithdrawCommand implements Callable<Integer> {
    private static final Duration TARGET = Duration.ofSeconds(6);

    @Spec
    private CommandSpec spec;

    @Option(names = "--entry-hosts", defaultValue = "6", description = "Entry hosts (default: ${DEFAULT-VALUE}).")
    private int entryHosts;

    @Option(names = "--samples", defaultValue = "200", description = "Withdrawals (default: ${DEFAULT-VALUE}).")
    private int samples;

    @Option(names = "--seed", defaultValue = "1", description = "Seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--lost-answers",
            defaultValue = "0.3",
            paramLabel = "RATIO",
            description = "Part of the store's answers lost (default: ${DEFAULT-VALUE}).")
    private double lostAnswerRatio;

    @Override
    public Integer call() {
        LogSetup.quiet();
        WithdrawReport report =
                WithdrawBench.run(new WithdrawOptions(entryHosts, samples, seed, lostAnswerRatio, TARGET));
        spec.commandLine().getOut().print(report.text());
        spec.commandLine().getOut().flush();
        return report.targetMet() ? 0 : 1;
    }
}

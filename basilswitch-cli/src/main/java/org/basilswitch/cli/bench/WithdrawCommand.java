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

/** {@code basilswitch bench withdraw}: measures how long entry hosts still accept a withdrawn key. */
@Command(
        name = "withdraw",
        mixinStandardHelpOptions = true,
        description =
                "Withdraws keys and measures the time until every entry host refuses them; in every second sample the store"
                        + " loses responses.")
final class WithdrawCommand implements Callable<Integer> {
    private static final Duration TARGET = Duration.ofSeconds(6);

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--entry-hosts",
            defaultValue = "6",
            description = "Number of entry hosts (default: ${DEFAULT-VALUE}).")
    private int entryHosts;

    @Option(
            names = "--samples",
            defaultValue = "200",
            description = "Number of withdrawals (default: ${DEFAULT-VALUE}).")
    private int samples;

    @Option(names = "--seed", defaultValue = "1", description = "Seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--lost-answers",
            defaultValue = "0.3",
            paramLabel = "RATIO",
            description = "Ratio of the store's responses that are lost (default: ${DEFAULT-VALUE}).")
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

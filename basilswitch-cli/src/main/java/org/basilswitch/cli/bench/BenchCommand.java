package org.basilswitch.cli.bench;

import picocli.CommandLine.Command;

/** Groups the measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures; each subcommand prints its figures beside targets and baselines of the same run.",
        subcommands = {
            ProxyCommand.class,
            FaultsCommand.class,
            WithdrawCommand.class,
        })
public final class BenchCommand {}

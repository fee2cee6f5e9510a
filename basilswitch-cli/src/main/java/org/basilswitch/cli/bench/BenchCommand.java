package org.basilswitch.cli.bench;

import picocli.CommandLine.Command;

/** Parent of the measurement commands. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Runs measurements; each subcommand prints its figures with targets and baselines of the same run.",
        subcommands = {
            ProxyCommand.class,
            BufferCommand.class,
            ClaimsCommand.class,
            LoadCommand.class,
            FaultsCommand.class,
            SlopesCommand.class,
            WaveBenchCommand.class,
            SharesCommand.class,
            PlacementCommand.class,
            RetriesCommand.class,
            WithdrawCommand.class,
        })
public final class BenchCommand {}

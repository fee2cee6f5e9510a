package org.basilswitch.cli.bench;

import picocli.CommandLine.Command;

/** Groups the measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures; each subcommand prints its figures beside targets and baselines of the same run.",
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

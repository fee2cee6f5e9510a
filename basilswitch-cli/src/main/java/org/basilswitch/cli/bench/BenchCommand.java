package org.basilswitch.cli.bench;

import picocli.CommandLine.Command;

/** Groups the measurements. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures; each subcommand prints its figures beside targets and baselines of the same run.",
        subcommands = {
            ProxyCommand.class,
            LoadCommand.class,
            FaultsCommand.class,
        })
public final class BenchCommand {}

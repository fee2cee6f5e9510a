package org.basilswitch.cli.standin;

import picocli.CommandLine.Command;

/** Groups the stand-ins. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs stand-ins for the platform on loopback, for trials and tests.",
        subcommands = {StoreCommand.class, WorkerCommand.class, LiveListCommand.class})
public final class StandInCommand {}

package org.basilswitch.cli.standin;

import picocli.CommandLine.Command;

/** Parent of the commands that run stand-ins for the platform. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Runs stand-ins for parts of the platform on loopback, for trials and tests.",
        subcommands = {StoreCommand.class, WorkerCommand.class, LiveListCommand.class})
public final class StandInCommand {}

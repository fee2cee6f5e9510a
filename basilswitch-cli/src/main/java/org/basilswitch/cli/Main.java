package org.basilswitch.cli;

import org.basilswitch.cli.bench.BenchCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program {@code basilswitch}. */
@Command(
        name = "basilswitch",
        mixinStandardHelpOptions = true,
        version = "basilswitch 0.1.0",
        description = "Fleet capacity and maintenance manager.",
        subcommands = {
            CheckCommand.class,
            BenchCommand.class,
        })
public final class Main {
    private Main() {}

    /** Runs a command and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}

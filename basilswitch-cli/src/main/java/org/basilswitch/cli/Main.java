package org.basilswitch.cli;

import org.basilswitch.cli.bench.BenchCommand;
import org.basilswitch.cli.demo.DemoCommand;
import org.basilswitch.cli.standin.StandInCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** The program {@code basilswitch}. */
/** The command line's entry point. */
@Command(
        name = "basilswitch",
        mixinStandardHelpOptions = true,
        version = "basilswitch 0.1.0",
        description = "Fleet capacity and maintenance manager.",
        subcommands = {
            HelpCommand.class,
            ServeCommand.class,
            CheckCommand.class,
            BenchCommand.class,
            DemoCommand.class,
            StandInCommand.class,
        })
public final class Main {
    private Main() {}

    /** Runs a command and exits with its code: 0 done, 1 refused or failed, 2 wrong usage. */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /** The commands, without running one. */
    public static CommandLine commandLine() {
        return new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true);
    }
}

package org.basilswitch.cli;

import org.basilswitch.cli.admin.ApplyCommand;
import org.basilswitch.cli.admin.AuditCommand;
import org.basilswitch.cli.admin.DiffCommand;
import org.basilswitch.cli.admin.HostCommand;
import org.basilswitch.cli.admin.KeyCommand;
import org.basilswitch.cli.admin.LimitCommand;
import org.basilswitch.cli.admin.PoolCommand;
import org.basilswitch.cli.admin.QueueCommand;
import org.basilswitch.cli.admin.ShareCommand;
import org.basilswitch.cli.admin.StatusCommand;
import org.basilswitch.cli.admin.TeamCommand;
import org.basilswitch.cli.admin.WaveCommand;
import org.basilswitch.cli.bench.BenchCommand;
import org.basilswitch.cli.demo.DemoCommand;
import org.basilswitch.cli.standin.StandInCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;

/** Entry point of the command line {@code basilswitch}. */
@Command(
        name = "basilswitch",
        mixinStandardHelpOptions = true,
        version = "basilswitch 0.1.0",
        description = "Fleet capacity and maintenance manager.",
        subcommands = {
            HelpCommand.class,
            ServeCommand.class,
            CheckCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            StatusCommand.class,
            PoolCommand.class,
            HostCommand.class,
            TeamCommand.class,
            KeyCommand.class,
            QueueCommand.class,
            ShareCommand.class,
            LimitCommand.class,
            WaveCommand.class,
            AuditCommand.class,
            BenchCommand.class,
            CatalogueCommand.class,
            DemoCommand.class,
            StandInCommand.class,
        })
public final class Main {
    private Main() {}

    /**
     * Runs a command and exits with its code: 0 for success, 1 if it was refused or failed, 2 for wrong usage, 3 if the
     * result of a change is unknown.
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    /** Returns the command line with all commands. */
    public static CommandLine commandLine() {
        return new CommandLine(new Main()).setCaseInsensitiveEnumValuesAllowed(true);
    }
}

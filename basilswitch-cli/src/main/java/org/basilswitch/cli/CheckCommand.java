package org.basilswitch.cli;

import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.settings.SettingsPage;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Checks settings without a connection to an entry host or the store. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks settings offline and prints all problems.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @ArgGroup(exclusive = true, multiplicity = "1")
    private Subject what;

    /** Either the settings to check, or the option that prints the settings page. */
    static final class Subject {
        @ArgGroup(exclusive = false)
        private SettingsFiles files;

        @Option(names = "--fields", description = "Prints the page docs/SETTINGS.md and checks nothing.")
        private boolean fields;
    }

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (what.fields) {
            out.print(SettingsPage.render());
            out.flush();
            return ExitCode.OK;
        }
        Optional<Settings> settings = what.files.load(spec.commandLine().getErr());
        settings.ifPresent(found -> out.println("site " + found.site() + ": settings are complete and consistent, "
                + found.entryHosts().size() + " entry hosts, "
                + found.records().size() + " records"));
        return settings.isPresent() ? ExitCode.OK : ExitCode.SOFTWARE;
    }
}

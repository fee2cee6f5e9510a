package org.basilswitch.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.settings.SettingsProblem;
import picocli.CommandLine.Option;

/** Options for the base file of the settings and its overlays. */
public final class SettingsFiles {
    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "The base file, JSON with comments.")
    private Path base;

    @Option(
            names = "--overlay",
            paramLabel = "FILE",
            description = "An overlay with the fields that differ from the base; may be repeated.")
    private List<Path> overlays = new ArrayList<>();

    /** Loads the settings; if they are invalid, prints all problems and returns empty. */
    public Optional<Settings> load(PrintWriter errors) {
        return Settings.load(base, overlays)
                .peekLeft(problems -> print(problems, errors))
                .toJavaOptional();
    }

    /** Prints problems, one per line, and their number. */
    public static void print(List<SettingsProblem> problems, PrintWriter errors) {
        problems.forEach(problem -> errors.println(problem.text()));
        errors.println(problems.size() + (problems.size() == 1 ? " problem" : " problems"));
        errors.flush();
    }
}

package org.basilswitch.cli.admin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import org.basilswitch.cli.SettingsFiles;
import org.basilswitch.daemon.settings.Settings;
import org.basilswitch.daemon.settings.SettingsDifference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the differences between two settings, or between a running site and settings. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description =
                "Shows the differences from other settings (--from), or without --from from a running site, to these"
                        + " settings. The exit code is 1 if there are any.")
public final class DiffCommand extends AdministrationCommand implements Callable<Integer> {
    @Mixin
    private SettingsFiles files;

    @Option(names = "--from", paramLabel = "FILE", description = "Base file of the settings to compare from.")
    private Path fromBase;

    @Option(
            names = "--from-overlay",
            paramLabel = "FILE",
            description = "Overlay of the settings to compare from; may be repeated.")
    private List<Path> fromOverlays = new ArrayList<>();

    @Override
    public Integer call() {
        Optional<Settings> to = files.load(errors());
        if (to.isEmpty()) {
            return Output.REFUSED;
        }
        if (fromBase == null) {
            return withClient(client ->
                    print(DesiredRecords.read(to.get().records(), client).differences()));
        }
        return Settings.load(fromBase, fromOverlays)
                .peekLeft(problems -> SettingsFiles.print(problems, errors()))
                .fold(
                        problems -> Output.REFUSED,
                        from -> print(SettingsDifference.between(
                                from.fields(), to.get().fields())));
    }

    private int print(List<SettingsDifference> differences) {
        if (json()) {
            Output.printJson(
                    out(), differences.stream().map(SettingsDifference::text).toList());
        } else {
            differences.forEach(difference -> out().println(difference.text()));
            out().flush();
        }
        return differences.isEmpty() ? Output.DONE : Output.REFUSED;
    }
}

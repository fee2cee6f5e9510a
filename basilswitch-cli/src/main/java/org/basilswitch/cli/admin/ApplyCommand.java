package org.basilswitch.cli.admin;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

import io.vavr.control.Either;
import org.basilswitch.administration.RecordKey;
import org.basilswitch.cli.SettingsFiles;
import org.basilswitch.daemon.admin.ChangeAnswer;
import org.basilswitch.daemon.admin.Problem;
import org.basilswitch.daemon.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Writes the records of the settings to a running site. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description =
                "Writes the records of the settings through the administration interface, except those that are already"
                        + " equal. Records that are not in the settings are not changed.")
public final class ApplyCommand extends AdministrationCommand implements Callable<Integer> {
    @Mixin
    private SettingsFiles files;

    @Option(names = "--dry-run", description = "Only prints what would be written.")
    private boolean dryRun;

    @Override
    public Integer call() {
        Optional<Settings> settings = files.load(errors());
        return settings.isEmpty()
                ? Output.REFUSED
                : withClient(client -> apply(DesiredRecords.read(settings.get().records(), client), client));
    }

    private int apply(DesiredRecords records, AdministrationClient client) {
        records.notInSettings().forEach(key -> out().println("not in the settings, left unchanged: " + key));
        List<RecordKey> keys = records.toWrite();
        if (dryRun) {
            keys.forEach(key -> out().println("would write " + key + ": " + records.record(key)));
            out().flush();
            return Output.DONE;
        }
        for (int i = 0; i < keys.size(); i++) {
            RecordKey key = keys.get(i);
            boolean last = i == keys.size() - 1;
            Either<Problem, ChangeAnswer> result =
                    client.put(key.kind(), key.name(), records.record(key), records.revision(key), last);
            int code = last || result.isLeft() ? Output.printResult(out(), errors(), result) : Output.DONE;
            if (code != Output.DONE) {
                return code;
            }
        }
        out().println(keys.size() + " records written");
        out().flush();
        return Output.DONE;
    }
}

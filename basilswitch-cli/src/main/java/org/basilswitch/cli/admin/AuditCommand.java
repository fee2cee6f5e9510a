package org.basilswitch.cli.admin;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;

import org.basilswitch.daemon.admin.AuditPage;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the audit log. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Shows who changed which record when, newest first.")
public final class AuditCommand extends AdministrationCommand implements Callable<Integer> {
    @Option(
            names = "--limit",
            defaultValue = "50",
            description = "Largest number of records (default: ${DEFAULT-VALUE}).")
    private int limit;

    @Option(names = "--hours", defaultValue = "24", description = "Hours to look back (default: ${DEFAULT-VALUE}).")
    private int hours;

    @Option(names = "--record", paramLabel = "KIND/NAME", description = "Only changes of this record.")
    private String record;

    @Override
    public Integer call() {
        String filter = record == null ? "" : "&record=" + URLEncoder.encode(record, StandardCharsets.UTF_8);
        return withClient(client -> {
            AuditPage page = client.audit("limit=" + limit + "&hours=" + hours + filter);
            if (json()) {
                Output.printJson(out(), page);
            } else {
                page.items()
                        .forEach(item -> out().println(item.kind() + "/" + item.name() + " by " + Output.text(item)));
                out().flush();
            }
            return Output.DONE;
        });
    }
}

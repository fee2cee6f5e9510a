package org.basilswitch.cli.admin;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Teams with their shares and limits. */
@Command(
        name = "team",
        description = "Teams with their shares and limits.",
        subcommands = picocli.CommandLine.HelpCommand.class)
public final class TeamCommand extends AdministrationCommand {
    private static final String KIND = "teams";

    @Command(description = "Lists all teams.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows one with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Adds a team.")
    int add(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--limit", required = true, description = "Most requests running across the fleet.")
                    int limitTasks,
            @Option(names = "--weight", defaultValue = "1", description = "Weight of its share (${DEFAULT-VALUE}).")
                    int shareWeight) {
        return create(KIND, name, object().put("limitTasks", limitTasks).put("shareWeight", shareWeight));
    }

    @Command(description = "Removes one that nothing names any more.")
    int remove(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }
}

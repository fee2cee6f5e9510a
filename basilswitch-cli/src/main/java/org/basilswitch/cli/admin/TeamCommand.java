package org.basilswitch.cli.admin;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for teams with their shares and limits. */
@Command(
        name = "team",
        description = "Lists and changes teams with their shares and limits.",
        subcommands = picocli.CommandLine.HelpCommand.class)
public final class TeamCommand extends AdministrationCommand {
    private static final String KIND = "teams";

    @Command(description = "Lists all teams.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows a team with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Adds a team.")
    int add(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--limit", required = true, description = "Most requests running in the fleet.")
                    int limitTasks,
            @Option(
                            names = "--weight",
                            defaultValue = "1",
                            description = "Weight of the team's share (default: ${DEFAULT-VALUE}).")
                    int shareWeight) {
        return create(KIND, name, object().put("limitTasks", limitTasks).put("shareWeight", shareWeight));
    }

    @Command(description = "Removes a team that no other record refers to.")
    int remove(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }
}

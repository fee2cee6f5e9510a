package org.basilswitch.cli.admin;

import java.util.ArrayList;
import java.util.List;

import org.basilswitch.administration.FleetStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Parameters;

/** Commands for the limits of running tasks per team. */
@Command(
        name = "limit",
        mixinStandardHelpOptions = true,
        description = "Lists and sets the teams' limits of running tasks.",
        subcommands = HelpCommand.class)
public final class LimitCommand extends AdministrationCommand {

    @Command(description = "Lists the teams' limits.")
    int list() {
        return withClient(client -> {
            List<FleetStatus.TeamStatus> teams = client.status().teams();
            List<List<String>> rows = new ArrayList<>();
            rows.add(List.of("team", "limitTasks"));
            teams.forEach(team -> rows.add(List.of(team.name(), String.valueOf(team.limitTasks()))));
            if (json()) {
                Output.printJson(out(), teams);
            } else {
                Output.printTable(out(), rows);
            }
            return Output.DONE;
        });
    }

    @Command(description = "Sets a team's limit.")
    int set(@Parameters(paramLabel = "TEAM") String team, @Parameters(paramLabel = "TASKS") int value) {
        return patch("teams", team, object().put("limitTasks", value));
    }
}

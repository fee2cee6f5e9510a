package org.basilswitch.cli.admin;

import java.util.ArrayList;
import java.util.List;

import org.basilswitch.administration.FleetStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Parameters;

/** Commands for the weights of the teams' shares. */
@Command(
        name = "share",
        mixinStandardHelpOptions = true,
        description = "Lists and sets the weights of the teams' shares.",
        subcommands = HelpCommand.class)
public final class ShareCommand extends AdministrationCommand {

    @Command(description = "Lists the weights of the teams' shares.")
    int list() {
        return withClient(client -> {
            List<FleetStatus.TeamStatus> teams = client.status().teams();
            List<List<String>> rows = new ArrayList<>();
            rows.add(List.of("team", "shareWeight"));
            teams.forEach(team -> rows.add(List.of(team.name(), String.valueOf(team.shareWeight()))));
            if (json()) {
                Output.printJson(out(), teams);
            } else {
                Output.printTable(out(), rows);
            }
            return Output.DONE;
        });
    }

    @Command(description = "Sets the weight of a team's share.")
    int set(@Parameters(paramLabel = "TEAM") String team, @Parameters(paramLabel = "WEIGHT") int value) {
        return patch("teams", team, object().put("shareWeight", value));
    }
}

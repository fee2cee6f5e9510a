package org.basilswitch.cli.admin;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for pools of hosts. */
@Command(
        name = "pool",
        mixinStandardHelpOptions = true,
        description = "Lists and changes pools of hosts.",
        subcommands = picocli.CommandLine.HelpCommand.class)
public final class PoolCommand extends AdministrationCommand {
    private static final String KIND = "pools";

    @Command(description = "Lists all pools.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows a pool with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Adds an empty pool.")
    int add(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--spare", description = "Makes the pool the spare pool.") boolean spare) {
        return create(KIND, name, object().put("minAvailableHosts", 0).put("spare", spare));
    }

    @Command(description = "Sets the availability budget: the least number of hosts that maintenance leaves active.")
    int budget(@Parameters(paramLabel = "NAME") String name, @Parameters(paramLabel = "HOSTS") int minAvailableHosts) {
        return patch(KIND, name, object().put("minAvailableHosts", minAvailableHosts));
    }

    @Command(description = "Removes a pool that no other record refers to.")
    int remove(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }
}

package org.basilswitch.cli.admin;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for hosts; each host belongs to exactly one pool. */
@Command(
        name = "host",
        description = "Lists and changes hosts; each belongs to exactly one pool.",
        subcommands = picocli.CommandLine.HelpCommand.class)
public final class HostCommand extends AdministrationCommand {
    private static final String KIND = "hosts";

    @Command(description = "Lists all hosts.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows a host with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Adds a host to a pool.")
    int add(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--address", required = true, description = "IP address and port of its backend server.")
                    String address,
            @Option(names = "--pool", required = true, description = "Pool of the host.") String pool,
            @Option(names = "--zone", required = true, description = "Availability zone of the host.") String zone,
            @Option(names = "--rack", required = true, description = "Rack of the host.") String rack,
            @Option(
                            names = "--slots",
                            defaultValue = "8",
                            description = "Concurrent requests (default: ${DEFAULT-VALUE}).")
                    int slots,
            @Option(
                            names = "--connections",
                            defaultValue = "64",
                            description = "Connections (default: ${DEFAULT-VALUE}).")
                    int connections,
            @Option(
                            names = "--processors",
                            defaultValue = "64",
                            description = "Processors (default: ${DEFAULT-VALUE}).")
                    int processors,
            @Option(names = "--memory-bytes", defaultValue = "274877906944", description = "Memory.")
                    long memoryBytes) {
        return create(
                KIND,
                name,
                object().put("address", address)
                        .put("pool", pool)
                        .put("zone", zone)
                        .put("rack", rack)
                        .put("slots", slots)
                        .put("connections", connections)
                        .put("processors", processors)
                        .put("memoryBytes", memoryBytes));
    }

    @Command(description = "Drains a host: it gets no new work and is drained once its work has ended.")
    int drain(@Parameters(paramLabel = "NAME") String name) {
        return patch(KIND, name, object().put("state", "DRAINING"));
    }

    @Command(description = "Puts a drained or returning host back into service.")
    int activate(@Parameters(paramLabel = "NAME") String name) {
        return patch(KIND, name, object().put("state", "ACTIVE"));
    }

    @Command(description = "Moves a drained host to another pool, where it becomes active.")
    int move(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--to", required = true, paramLabel = "POOL", description = "The new pool.") String pool) {
        return patch(KIND, name, object().put("pool", pool).put("state", "ACTIVE"));
    }

    @Command(description = "Removes a host that no other record refers to.")
    int remove(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }
}

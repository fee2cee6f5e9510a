package org.basilswitch.cli.admin;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for maintenance waves. */
@Command(
        name = "wave",
        mixinStandardHelpOptions = true,
        description = "Lists, plans and controls maintenance waves.",
        subcommands = picocli.CommandLine.HelpCommand.class)
public final class WaveCommand extends AdministrationCommand {
    private static final String KIND = "waves";

    @Command(description = "Lists all waves.")
    int list() {
        return list(KIND);
    }

    @Command(description = "Shows a wave with its revision.")
    int show(@Parameters(paramLabel = "NAME") String name) {
        return show(KIND, name);
    }

    @Command(description = "Plans a wave over single hosts or all hosts of pools.")
    int plan(
            @Parameters(paramLabel = "NAME") String name,
            @Option(names = "--hosts", split = ",", description = "Hosts to reboot.") List<String> hosts,
            @Option(names = "--pools", split = ",", description = "Pools whose hosts to reboot.") List<String> pools,
            @Option(
                            names = "--concurrent",
                            defaultValue = "4",
                            description = "Most hosts out of service at a time (default: ${DEFAULT-VALUE}).")
                    int maxConcurrentHosts) {
        return change(client -> {
            ObjectNode wave = object().put("maxConcurrentHosts", maxConcurrentHosts);
            ArrayNode names = wave.putArray("hosts");
            Optional.ofNullable(hosts).orElse(List.of()).forEach(names::add);
            Optional.ofNullable(pools).orElse(List.of()).forEach(pool -> addHosts(client, pool, names));
            return client.put(KIND, name, wave, 0, true);
        });
    }

    private static void addHosts(AdministrationClient client, String pool, ArrayNode names) {
        client.list("hosts").stream()
                .filter(host -> host.record().path("pool").asText().equals(pool))
                .forEach(host -> names.add(host.name()));
    }

    @Command(description = "Starts a planned wave.")
    int start(@Parameters(paramLabel = "NAME") String name) {
        return setPhase(name, "RUNNING");
    }

    @Command(description = "Pauses a running wave; hosts that are out of service still return.")
    int pause(@Parameters(paramLabel = "NAME") String name) {
        return setPhase(name, "PAUSED");
    }

    @Command(description = "Resumes a paused or halted wave.")
    int resume(@Parameters(paramLabel = "NAME") String name) {
        return setPhase(name, "RUNNING");
    }

    @Command(description = "Ends a wave permanently; hosts that are out of service still return.")
    int abort(@Parameters(paramLabel = "NAME") String name) {
        return setPhase(name, "ABORTED");
    }

    private int setPhase(String name, String phase) {
        return patch(KIND, name, object().put("phase", phase).put("haltReason", ""));
    }

    @Command(description = "Removes a wave that no other record refers to.")
    int remove(@Parameters(paramLabel = "NAME") String name) {
        return remove(KIND, name);
    }
}

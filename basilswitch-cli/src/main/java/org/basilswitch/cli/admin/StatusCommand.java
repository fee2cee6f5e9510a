package org.basilswitch.cli.admin;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.basilswitch.administration.FleetStatus;
import org.basilswitch.configuration.HostState;
import picocli.CommandLine.Command;

/** Prints a summary of the fleet. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Shows entry hosts, pools, teams, queues and waves of the fleet.")
public final class StatusCommand extends AdministrationCommand implements Callable<Integer> {
    private static final List<HostState> STATES = List.of(HostState.values());

    @Override
    public Integer call() {
        return withClient(client -> {
            FleetStatus status = client.status();
            if (json()) {
                Output.printJson(out(), status);
            } else {
                print(status);
            }
            return Output.DONE;
        });
    }

    private void print(FleetStatus status) {
        out().println("site " + status.site() + ", configuration revision " + status.revision() + ", response from "
                + status.answeredBy() + (status.ready() ? "" : " (not ready)") + " with " + status.openRequests()
                + " requests open");
        out().println();
        Output.printTable(out(), entryHosts(status));
        out().println();
        Output.printTable(out(), pools(status));
        out().println();
        Output.printTable(out(), teams(status));
        out().println();
        Output.printTable(out(), queues(status));
        if (!status.waves().isEmpty()) {
            out().println();
            Output.printTable(out(), waves(status));
        }
    }

    private static List<List<String>> entryHosts(FleetStatus status) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("entry host", "zone", "peer address"));
        status.entryHosts().forEach(host -> rows.add(List.of(host.name(), host.zone(), host.peerAddress())));
        return rows;
    }

    private static List<List<String>> pools(FleetStatus status) {
        List<List<String>> rows = new ArrayList<>();
        List<String> titles = new ArrayList<>(List.of("pool", "hosts", "budget"));
        STATES.forEach(state -> titles.add(state.name().toLowerCase(java.util.Locale.ROOT)));
        rows.add(titles);
        for (FleetStatus.PoolStatus pool : status.pools()) {
            String name = pool.name() + (pool.spare() ? " (spare)" : "");
            List<String> row = new ArrayList<>(
                    List.of(name, String.valueOf(pool.hosts()), String.valueOf(pool.minAvailableHosts())));
            STATES.forEach(state -> row.add(String.valueOf(pool.hostsByState().getOrDefault(state, 0))));
            rows.add(row);
        }
        return rows;
    }

    private static List<List<String>> teams(FleetStatus status) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("team", "share weight", "limit", "keys"));
        status.teams()
                .forEach(team -> rows.add(List.of(
                        team.name(),
                        String.valueOf(team.shareWeight()),
                        String.valueOf(team.limitTasks()),
                        String.valueOf(team.keys()))));
        return rows;
    }

    private static List<List<String>> queues(FleetStatus status) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("queue", "pool", "open to all", "idempotent", "deadline ms"));
        status.queues()
                .forEach(queue -> rows.add(List.of(
                        queue.name(),
                        queue.pool(),
                        queue.openToAll() ? "yes" : "no",
                        queue.idempotent() ? "yes" : "no",
                        String.valueOf(queue.deadlineMs()))));
        return rows;
    }

    private static List<List<String>> waves(FleetStatus status) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("wave", "phase", "done", "hosts", "halt reason"));
        status.waves()
                .forEach(wave -> rows.add(List.of(
                        wave.name(),
                        wave.phase().name().toLowerCase(java.util.Locale.ROOT),
                        String.valueOf(wave.doneHosts()),
                        String.valueOf(wave.hosts()),
                        wave.haltReason())));
        return rows;
    }
}

package org.basilswitch.cli.demo;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.basilswitch.bench.load.LoadGenerator.TeamProgress;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.standin.worker.ExecutionLog;

/**
 * Prints a table of teams and pools: for each team its shares of the requests sent and started since the previous table,
 * for each pool its hosts by state.
 */
final class DemoTable {
    private static final String CLEAR = "\033[H\033[2J";
    private static final double PERCENT = 100.0;

    private final PrintWriter out;
    private final boolean refresh;
    private final Map<String, Integer> limits;
    private Map<String, TeamProgress> previousSent = Map.of();
    private Map<String, ExecutionLog.TeamCount> previousStarted = Map.of();

    private DemoTable(PrintWriter out, boolean refresh, Map<String, Integer> limits) {
        this.out = out;
        this.refresh = refresh;
        this.limits = limits;
    }

    /** Creates a table; with {@code refresh} each print clears the terminal first. */
    static DemoTable create(PrintWriter out, boolean refresh, Map<String, Integer> limits) {
        return new DemoTable(out, refresh, limits);
    }

    void print(
            Duration elapsed,
            Map<String, TeamProgress> sent,
            Map<String, ExecutionLog.TeamCount> started,
            SiteConfiguration configuration) {
        out.print(refresh ? CLEAR : "\n");
        out.printf("after %d s%n", elapsed.toSeconds());
        printTeams(sent, started);
        printPools(configuration);
        out.flush();
        previousSent = sent;
        previousStarted = started;
    }

    private void printTeams(Map<String, TeamProgress> sent, Map<String, ExecutionLog.TeamCount> started) {
        double sentByAll = sent.keySet().stream()
                .mapToLong(team -> sentSincePrevious(team, sent))
                .sum();
        double startedForAll = started.keySet().stream()
                .mapToLong(team -> startedSincePrevious(team, started))
                .sum();
        out.printf("%-20s %8s %6s %9s %9s  %s%n", "team", "running", "limit", "asked", "got", "refused by reason");
        sent.forEach((team, progress) -> out.printf(
                "%-20s %8d %6s %8.1f%% %8.1f%%  %s%n",
                team,
                started.containsKey(team) ? started.get(team).running() : 0,
                limits.containsKey(team) ? limits.get(team).toString() : "-",
                percent(sentSincePrevious(team, sent), sentByAll),
                percent(startedSincePrevious(team, started), startedForAll),
                refusalsByReason(progress)));
    }

    private static String refusalsByReason(TeamProgress progress) {
        Map<String, Long> reasons = new TreeMap<>(progress.refusedByCode());
        if (progress.unknown() > 0) {
            reasons.put("unknown", progress.unknown());
        }
        return reasons.isEmpty() ? "" : reasons.toString();
    }

    private long sentSincePrevious(String team, Map<String, TeamProgress> sent) {
        long before = previousSent.containsKey(team) ? previousSent.get(team).sent() : 0;
        return sent.get(team).sent() - before;
    }

    private long startedSincePrevious(String team, Map<String, ExecutionLog.TeamCount> started) {
        long before =
                previousStarted.containsKey(team) ? previousStarted.get(team).started() : 0;
        return started.containsKey(team) ? started.get(team).started() - before : 0;
    }

    private static double percent(double part, double whole) {
        return whole == 0 ? 0 : part / whole * PERCENT;
    }

    private void printPools(SiteConfiguration configuration) {
        out.printf("%-20s %s%n", "pool", "hosts by state");
        for (Pool pool : new TreeMap<>(configuration.pools()).values()) {
            Map<HostState, Integer> states = new EnumMap<>(HostState.class);
            for (Host host : configuration.hostsOf(pool.name())) {
                states.merge(host.state(), 1, Integer::sum);
            }
            out.printf("%-20s %s%s%n", pool.name(), states, pool.spare() ? " (spare)" : "");
        }
    }
}

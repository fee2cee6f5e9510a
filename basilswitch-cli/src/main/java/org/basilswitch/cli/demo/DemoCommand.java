package org.basilswitch.cli.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.basilswitch.bench.load.EntryTarget;
import org.basilswitch.bench.load.LoadGenerator;
import org.basilswitch.bench.load.LoadReport;
import org.basilswitch.bench.load.LoadResult;
import org.basilswitch.cli.LogSetup;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.Team;
import org.basilswitch.standin.store.StoreCounts;
import org.basilswitch.standin.worker.ExecutionRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs a site in this process under load, and compares the callers' results with the workers' execution record. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Runs a site on loopback with stand-ins for the platform, and checks the result of every request.")
public final class DemoCommand implements Callable<Integer> {
    private static final long READY_POLL_MS = 20;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);
    private static final Duration PLAIN_INTERVAL = Duration.ofSeconds(5);

    @Spec
    private CommandSpec spec;

    @Option(names = "--site", defaultValue = "fraser-fathom", description = "fraser-fathom (default) or canelones.")
    private String site;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "How long callers send requests, in seconds; default 20.")
    private int seconds;

    @Option(names = "--entry-hosts", defaultValue = "3", description = "Number of entry hosts, 3 to 6; default 3.")
    private int entryHosts;

    @Option(
            names = "--wave",
            description = "Runs a maintenance wave over all hosts under load, during which a rack fails.")
    private boolean wave;

    @Option(
            names = "--keep",
            description = "Keeps the site running after the report and prints curl commands for it; Ctrl-C ends it.")
    private boolean keep;

    @Option(names = "--verbose", description = "Shows the entry hosts' log events.")
    private boolean verbose;

    @Option(names = "--plain", description = "Prints the tables one after another instead of refreshing the terminal.")
    private boolean plain;

    private PrintWriter out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (verbose) {
            LogSetup.configure(LogSetup.Format.TEXT, "info");
        } else {
            LogSetup.quiet();
        }
        out = spec.commandLine().getOut();
        DemoSite demoSite = DemoSite.load(site);
        if (entryHosts < 1 || entryHosts > demoSite.entryHosts().size() || seconds < 1) {
            spec.commandLine()
                    .getErr()
                    .println("use from 1 to " + demoSite.entryHosts().size() + " entry hosts and at least 1 s");
            return ExitCode.USAGE;
        }
        try (DemoFleet fleet = DemoFleet.start(demoSite, entryHosts)) {
            boolean passed = run(demoSite, fleet);
            if (keep) {
                keepRunning(demoSite, fleet);
            }
            return passed ? ExitCode.OK : ExitCode.SOFTWARE;
        }
    }

    private boolean run(DemoSite demoSite, DemoFleet fleet) throws InterruptedException {
        out.printf(
                "site %s: %d entry hosts, %d workers, %d teams, %d queues%n",
                demoSite.name(),
                entryHosts,
                demoSite.hosts().size(),
                demoSite.teams().size(),
                demoSite.queues().size());
        if (!awaitReady(fleet)) {
            out.println("FAIL the entry hosts were not ready within " + READY_TIMEOUT.toSeconds() + " s");
            return false;
        }
        Duration duration = Duration.ofSeconds(seconds);
        LoadGenerator load = LoadGenerator.start(fleet.vertx(), DemoLoad.options(demoSite, fleet, duration))
                .await();
        Optional<DemoWave> maintenance = wave ? Optional.of(DemoWave.start(demoSite, fleet)) : Optional.empty();
        LoadResult result = watch(demoSite, fleet, load);
        boolean passed = report(demoSite, fleet, result);
        return maintenance.map(running -> running.report(out)).orElse(true) && passed;
    }

    private static boolean awaitReady(DemoFleet fleet) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!fleet.allReady()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
        }
        return true;
    }

    private LoadResult watch(DemoSite demoSite, DemoFleet fleet, LoadGenerator load) throws InterruptedException {
        boolean refresh = !plain && System.console() != null;
        Duration interval = refresh ? REFRESH_INTERVAL : PLAIN_INTERVAL;
        DemoTable table = DemoTable.create(out, refresh, demoSite.limits());
        long startNanos = System.nanoTime();
        while (!load.finished().isComplete()) {
            awaitFinished(load, interval);
            table.print(
                    Duration.ofNanos(System.nanoTime() - startNanos),
                    load.progress().await(),
                    fleet.record().teams(),
                    fleet.configuration());
        }
        return load.finished().await();
    }

    private static void awaitFinished(LoadGenerator load, Duration interval) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(1);
        load.finished().onComplete(ignored -> ended.countDown());
        ended.await(interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean report(DemoSite demoSite, DemoFleet fleet, LoadResult result) {
        List<ExecutionRecord> runs = fleet.record().snapshot().runs();
        StoreCounts.Snapshot calls = fleet.store().counts().await();
        out.println("\nreport: callers' results compared with the workers' execution record");
        boolean passed = LoadReport.of(result, runs, demoSite.limits()).print(out);
        out.println("store calls by kind, as counted by the store: " + calls.calls() + ", refused " + calls.refused());
        out.println(passed ? "passed" : "FAILED");
        out.flush();
        return passed;
    }

    private void keepRunning(DemoSite demoSite, DemoFleet fleet) throws InterruptedException {
        EntryTarget entry = fleet.targets().getFirst();
        Team team = demoSite.teams().getFirst();
        Queue queue = demoSite.queues().getFirst();
        out.println("\nthe site keeps running until Ctrl-C; commands for another terminal:");
        out.printf(
                "  curl -i -H 'Authorization: Bearer %s' -H 'Idempotency-Key: my-1' -d '{}'"
                        + " http://127.0.0.1:%d/v1/queues/%s/requests%n",
                DemoSite.secret(team), entry.callerPort(), queue.name());
        out.printf("  curl -i http://127.0.0.1:%d/readyz%n", entry.administrationPort());
        out.printf("  curl -s http://127.0.0.1:%d/metrics%n", entry.administrationPort());
        out.printf(
                "  curl -s http://127.0.0.1:%d/control/counts%n", fleet.store().port());
        out.printf(
                "  curl -s -d '{\"down\":true}' http://127.0.0.1:%d/control/faults%n",
                fleet.store().port());
        out.printf(
                "  export BASILSWITCH_URL=http://127.0.0.1:%d BASILSWITCH_OPERATOR_KEY=%s%n",
                entry.administrationPort(), fleet.operatorKey());
        out.println("  ./basilswitch status");
        out.printf("  ./basilswitch limit set %s %d%n", team.name(), team.limitTasks() + 1);
        out.println("  ./basilswitch audit");
        out.flush();
        new CountDownLatch(1).await();
    }
}

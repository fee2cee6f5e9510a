package org.basilswitch.cli.demo;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.basilswitch.bench.fleet.FleetInvariants;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.standin.hosts.HostListServer;
import org.basilswitch.standin.worker.WorkerServer;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;

/** A maintenance wave over all hosts of the demo's site, during which all hosts of one rack fail. */
final class DemoWave {
    private static final String NAME = "demo-wave";
    private static final Duration RACK_FAILURE_DELAY = Duration.ofSeconds(12);
    private static final Duration RACK_OUTAGE = Duration.ofSeconds(6);

    private final DemoFleet fleet;
    private final StoreKeys keys;
    private final FleetInvariants invariants;
    private final long startNanos = System.nanoTime();
    private String failedRack = "none";

    private DemoWave(DemoFleet fleet, StoreKeys keys) {
        this.fleet = fleet;
        this.keys = keys;
        this.invariants = FleetInvariants.create(keys.configuration());
    }

    /** Writes the wave's record and schedules the rack's failure. */
    static DemoWave start(DemoSite site, DemoFleet fleet) {
        DemoWave wave = new DemoWave(fleet, new StoreKeys(site.name()));
        fleet.platformStore().watch(wave.keys.configuration(), 1, wave.invariants);
        List<String> hosts = site.hosts().stream().map(Host::name).sorted().toList();
        MaintenanceWave record =
                new MaintenanceWave(NAME, hosts, List.of(), MaintenanceWave.Phase.RUNNING, hosts.size(), "");
        String key = wave.keys.configuration("waves", NAME);
        fleet.platformStore()
                .commit(Transaction.builder()
                        .compare(key, Transaction.ABSENT)
                        .put(key, RecordCodec.encode(record))
                        .build())
                .toCompletableFuture()
                .join();
        fleet.vertx().setTimer(RACK_FAILURE_DELAY.toMillis(), id -> wave.failRack(site));
        return wave;
    }

    private void failRack(DemoSite site) {
        failedRack = site.hosts().getFirst().rack();
        for (Host host : site.hosts()) {
            if (host.rack().equals(failedRack)) {
                fleet.liveList().setListing(host.name(), HostListServer.Listing.GONE);
                fleet.workers()
                        .get(host.name())
                        .reboot(RACK_OUTAGE)
                        .onSuccess(up -> fleet.liveList().setListing(host.name(), HostListServer.Listing.LIVE));
            }
        }
    }

    /** Prints the result of the wave and its checks; returns whether all checks passed. */
    boolean report(PrintWriter out) {
        Optional<MaintenanceWave> wave =
                Optional.ofNullable(fleet.configuration().waves().get(NAME));
        int done = wave.map(record -> record.done().size()).orElse(0);
        int hosts = wave.map(record -> record.hosts().size()).orElse(0);
        List<WorkerServer.BootCount> boots = fleet.workers().values().stream()
                .map(worker -> worker.boots().await())
                .toList();
        int cutAnswers =
                boots.stream().mapToInt(WorkerServer.BootCount::cutByReboots).sum();
        out.printf(
                "%nwave: %s, %d of %d hosts maintained after %d s, %d moves between pools; rack %s failed during the wave%n",
                wave.map(record -> record.phase().name()).orElse("unknown"),
                done,
                hosts,
                Duration.ofNanos(System.nanoTime() - startNanos).toSeconds(),
                invariants.moves(),
                failedRack);
        boolean passed = check(out, cutAnswers == 0, "no response was cut off by a reboot (" + cutAnswers + " were)");
        passed &= check(
                out,
                invariants.violation().isEmpty(),
                "availability budgets were met: " + invariants.violation().orElse("yes"));
        passed &= check(out, done == hosts && hosts > 0, "every host was maintained");
        out.flush();
        return passed;
    }

    private static boolean check(PrintWriter out, boolean passed, String text) {
        out.println((passed ? "ok   " : "FAIL ") + text);
        return passed;
    }
}

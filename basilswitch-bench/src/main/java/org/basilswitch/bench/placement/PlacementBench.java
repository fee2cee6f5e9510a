package org.basilswitch.bench.placement;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.basilswitch.admission.SharePolicy;
import org.basilswitch.bench.workload.LoadPlan;
import org.basilswitch.bench.workload.Variant;
import org.basilswitch.bench.workload.VirtualFleet;
import org.basilswitch.bench.workload.VirtualFleetSpec;
import org.basilswitch.bench.workload.VirtualWorker;
import org.basilswitch.event.CounterCode;
import org.basilswitch.placement.PlacementPolicy;

/** Compares placement policies under bursty load, with equal workers and with one slow worker in each pool. */
public final class PlacementBench {
    private static final Duration RUN = Duration.ofSeconds(40);
    private static final double SLOW_FACTOR = 3;

    private PlacementBench() {}

    /** Measures each policy over the seeds and prints one line per policy. */
    public static void run(PrintStream out, int entryHosts, long firstSeed, int seeds) {
        out.printf(
                Locale.ROOT,
                "placement: %d entry hosts, 4 zones 1.5 ms apart, 5 services, bursts of 5 times the mean, %d seeds from %d%n",
                entryHosts,
                seeds,
                firstSeed);
        for (boolean slowWorkers : new boolean[] {false, true}) {
            out.println(slowWorkers ? "one worker of each pool 3 times slower:" : "equal workers:");
            out.println("strategy               on-time-%    p50-ms    p99-ms  across-zones-%  refused-%"
                    + "  busy/request  report-B/s  violations");
            for (Variant variant : variants()) {
                print(out, entryHosts, variant, slowWorkers, firstSeed, seeds);
            }
        }
    }

    /** Returns the policies to measure, baselines first. */
    public static List<Variant> variants() {
        SharePolicy weighted = new SharePolicy.Weighted();
        return List.of(
                new Variant("uniform-random", weighted, new PlacementPolicy.UniformRandom(), true),
                new Variant("round-robin", weighted, new PlacementPolicy.RoundRobin(), true),
                new Variant("least-in-flight", weighted, new PlacementPolicy.LeastInFlight(), true),
                new Variant("local-probing-1", weighted, new PlacementPolicy.LocalProbing(1), true),
                new Variant("local-probing-2", weighted, new PlacementPolicy.LocalProbing(2), true),
                new Variant("local-probing-4", weighted, new PlacementPolicy.LocalProbing(4), true),
                new Variant("divided-slots", weighted, new PlacementPolicy.DividedSlots(2), true));
    }

    private static void print(
            PrintStream out, int entryHosts, Variant variant, boolean slowWorkers, long firstSeed, int seeds) {
        List<VirtualFleet> fleets = new ArrayList<>();
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            fleets.add(runOne(entryHosts, variant, slowWorkers, seed));
        }
        out.printf(
                Locale.ROOT,
                "%-20s %11.2f %9.0f %9.0f %15.1f %10.2f %13.2f %11.0f %11d%n",
                variant.name(),
                100 * mean(fleets, fleet -> fleet.outcomes().onTimeRatio()),
                mean(fleets, fleet -> fleet.outcomes().latencyMs(50)),
                mean(fleets, fleet -> fleet.outcomes().latencyMs(99)),
                100 * mean(fleets, fleet -> fleet.counters().crossZoneRatio()),
                100 * mean(fleets, fleet -> fleet.outcomes().refusedRatio()),
                mean(fleets, PlacementBench::busyPerRequest),
                mean(fleets, VirtualFleet::reportBytesPerSecond),
                fleets.stream()
                        .mapToLong(fleet -> fleet.counters().count(CounterCode.INVARIANT_VIOLATIONS))
                        .sum());
    }

    private static double mean(List<VirtualFleet> fleets, java.util.function.ToDoubleFunction<VirtualFleet> figure) {
        return fleets.stream().mapToDouble(figure).average().orElse(0);
    }

    private static double busyPerRequest(VirtualFleet fleet) {
        long busy = 0;
        for (VirtualWorker worker : fleet.workers()) {
            busy += worker.busyRefusals();
        }
        return (double) busy / Math.max(1, fleet.outcomes().requests());
    }

    private static VirtualFleet runOne(int entryHosts, Variant variant, boolean slowWorkers, long seed) {
        VirtualFleetSpec spec = VirtualFleetSpec.ofCurrentScale(entryHosts);
        VirtualFleet fleet = VirtualFleet.create(spec, variant, seed);
        for (int service = 0; slowWorkers && service < spec.services(); service++) {
            fleet.worker(service, 0).setSlowness(SLOW_FACTOR);
        }
        fleet.startCallers(new Bursts(spec));
        fleet.run(RUN);
        return fleet;
    }

    /** Queues burst in turn: each has five times its mean rate for 4 s and a twentieth of it between its bursts. */
    private record Bursts(VirtualFleetSpec spec) implements LoadPlan {
        private static final double MEAN_LOAD_RATIO = 0.25;
        private static final double BURST_FACTOR = 5;
        private static final double QUIET_FACTOR = 0.05;
        private static final double BURST_SECONDS = 4;

        @Override
        public double ratePerSecond(int service, int team, double seconds) {
            double mean = spec.capacityPerSecond()
                    * MEAN_LOAD_RATIO
                    / spec.teamWeights().size();
            int turn = (int) (seconds / BURST_SECONDS) % spec.services();
            return mean * (turn == service ? BURST_FACTOR : QUIET_FACTOR);
        }

        @Override
        public double maxRatePerSecond() {
            return spec.capacityPerSecond()
                    * MEAN_LOAD_RATIO
                    / spec.teamWeights().size()
                    * BURST_FACTOR;
        }
    }
}

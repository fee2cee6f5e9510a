package org.basilswitch.bench.retries;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;

import org.basilswitch.admission.SharePolicy;
import org.basilswitch.bench.workload.LoadPlan;
import org.basilswitch.bench.workload.Variant;
import org.basilswitch.bench.workload.VirtualFleet;
import org.basilswitch.bench.workload.VirtualFleetSpec;
import org.basilswitch.bench.workload.VirtualWorker;
import org.basilswitch.placement.PlacementPolicy;

/**
 * Measures retry amplification, ejection and return to service while workers of one pool fail every request or hang.
 */
public final class RetriesBench {
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration FAULT = Duration.ofSeconds(20);
    private static final Duration RECOVERY = Duration.ofSeconds(40);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int QUIET_STEPS = 5;
    private static final double LOAD_RATIO = 0.6;

    private final PrintStream out;
    private final int entryHosts;
    private final long seed;

    private RetriesBench(PrintStream out, int entryHosts, long seed) {
        this.out = out;
        this.entryHosts = entryHosts;
        this.seed = seed;
    }

    /** Measures each fault with the default placement and a baseline, and prints one line for each combination. */
    public static void run(PrintStream out, int entryHosts, long seed) {
        RetriesBench bench = new RetriesBench(out, entryHosts, seed);
        out.printf(
                Locale.ROOT, "retries: %d entry hosts, load %.1f of the pool, seed %d%n", entryHosts, LOAD_RATIO, seed);
        out.println("fault                placement          amplification  on-time-% (before/during/after)"
                + "  ejected-after-s  received-by-faulty/s  back-after-s");
        for (VirtualWorker.Mode mode : new VirtualWorker.Mode[] {VirtualWorker.Mode.FAIL, VirtualWorker.Mode.HANG}) {
            for (int faulty : new int[] {1, 4, 8}) {
                bench.print(mode, faulty, "least-in-flight", new PlacementPolicy.LeastInFlight());
                bench.print(mode, faulty, "divided-slots", PlacementPolicy.defaultPolicy());
            }
        }
    }

    private void print(VirtualWorker.Mode mode, int faulty, String name, PlacementPolicy placement) {
        VirtualFleetSpec spec = VirtualFleetSpec.ofCurrentScale(entryHosts).withServices(1);
        Variant variant = new Variant(name, new SharePolicy.Weighted(), placement, true);
        VirtualFleet fleet = VirtualFleet.create(spec, variant, seed);
        fleet.startCallers(new EvenLoad(spec));
        fleet.run(WARM_UP);
        PeriodCounts before = PeriodCounts.of(fleet);
        setMode(fleet, faulty, mode);
        double ejectedAfter = secondsUntilEjected(fleet, faulty);
        long receivedEarly = received(fleet, faulty);
        Duration rest = FAULT.minus(Duration.ofMillis((long) (1_000 * Math.min(ejectedAfter, FAULT.toSeconds()))));
        fleet.run(rest);
        double receivedPerSecond = (received(fleet, faulty) - receivedEarly) / Math.max(0.1, rest.toMillis() / 1e3);
        PeriodCounts during = PeriodCounts.of(fleet).minus(before);
        setMode(fleet, faulty, VirtualWorker.Mode.NORMAL);
        double backAfter = secondsUntilBack(fleet, faulty);
        fleet.run(RECOVERY.minus(Duration.ofMillis((long) (1_000 * Math.min(backAfter, RECOVERY.toSeconds())))));
        PeriodCounts after = PeriodCounts.of(fleet).minus(before).minus(during);
        out.printf(
                Locale.ROOT,
                "%-4s %d of 8 workers  %-18s %13.3f %12.1f / %.1f / %-12.1f %15s %21.1f %13s%n",
                mode,
                faulty,
                name,
                during.amplification(),
                100 * before.onTimeRatio(),
                100 * during.onTimeRatio(),
                100 * after.onTimeRatio(),
                text(ejectedAfter, FAULT),
                receivedPerSecond,
                text(backAfter, RECOVERY));
    }

    private static String text(double seconds, Duration limit) {
        return seconds >= limit.toSeconds() ? "never" : String.format(Locale.ROOT, "%.1f", seconds);
    }

    private static void setMode(VirtualFleet fleet, int faulty, VirtualWorker.Mode mode) {
        for (int i = 0; i < faulty; i++) {
            fleet.worker(0, i).setMode(mode);
        }
    }

    private static long received(VirtualFleet fleet, int faulty) {
        long received = 0;
        for (int i = 0; i < faulty; i++) {
            received += fleet.worker(0, i).received();
        }
        return received;
    }

    /** Returns the seconds until each faulty worker receives at most one probe per second from each entry host. */
    private double secondsUntilEjected(VirtualFleet fleet, int faulty) {
        double probesPerStep = entryHosts * faulty * STEP.toMillis() / 1e3;
        int quiet = 0;
        double seconds = 0;
        while (seconds < FAULT.toSeconds()) {
            long before = received(fleet, faulty);
            fleet.run(STEP);
            seconds += STEP.toMillis() / 1e3;
            quiet = received(fleet, faulty) - before <= probesPerStep ? quiet + 1 : 0;
            if (quiet == QUIET_STEPS) {
                return seconds - QUIET_STEPS * STEP.toMillis() / 1e3;
            }
        }
        return FAULT.toSeconds();
    }

    /** Returns the seconds until the workers that were faulty run half of their even share of the load again. */
    private static double secondsUntilBack(VirtualFleet fleet, int faulty) {
        double wanted = LOAD_RATIO * faulty * fleet.worker(0, 0).slots() / 2;
        double seconds = 0;
        while (seconds < RECOVERY.toSeconds()) {
            fleet.run(STEP);
            seconds += 0.1;
            int running = 0;
            for (int i = 0; i < faulty; i++) {
                running += fleet.worker(0, i).running();
            }
            if (running >= wanted) {
                return seconds;
            }
        }
        return RECOVERY.toSeconds();
    }

    private record PeriodCounts(long requests, long onTime, long attempts, long busy) {
        static PeriodCounts of(VirtualFleet fleet) {
            long busy = 0;
            for (VirtualWorker worker : fleet.workers()) {
                busy += worker.busyRefusals();
            }
            return new PeriodCounts(
                    fleet.outcomes().requests(),
                    fleet.outcomes().onTime(),
                    fleet.counters().attempts(),
                    busy);
        }

        PeriodCounts minus(PeriodCounts other) {
            return new PeriodCounts(
                    requests - other.requests, onTime - other.onTime, attempts - other.attempts, busy - other.busy);
        }

        /** Returns the attempts per request, without those that a worker refused for lack of a slot. */
        double amplification() {
            return (double) (attempts - busy) / requests;
        }

        double onTimeRatio() {
            return (double) onTime / requests;
        }
    }

    private record EvenLoad(VirtualFleetSpec spec) implements LoadPlan {
        @Override
        public double ratePerSecond(int service, int team, double seconds) {
            return maxRatePerSecond();
        }

        @Override
        public double maxRatePerSecond() {
            return spec.capacityPerSecond() * LOAD_RATIO / spec.teamWeights().size();
        }
    }
}

package org.basilswitch.bench.shares;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.basilswitch.admission.SharePolicy;
import org.basilswitch.bench.workload.LoadPlan;
import org.basilswitch.bench.workload.Variant;
import org.basilswitch.bench.workload.VirtualFleet;
import org.basilswitch.bench.workload.VirtualFleetSpec;
import org.basilswitch.event.CounterCode;
import org.basilswitch.placement.PlacementPolicy;

/**
 * Measures the teams' deviation from their shares, the time until a returning team has its share again, and the effect
 * of one team's bursts on the others, for share policies and baselines on virtual time.
 */
public final class SharesBench {
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration SATURATED = Duration.ofSeconds(40);
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final Duration AFTER_RETURN = Duration.ofSeconds(10);
    private static final Duration BURST_RUN = Duration.ofSeconds(40);
    private static final double BURST_FACTOR = 5;
    private static final double QUIET_FACTOR = 0.05;
    private static final double BURST_SECONDS = 4;

    private final PrintStream out;
    private final int entryHosts;

    private SharesBench(PrintStream out, int entryHosts) {
        this.out = out;
        this.entryHosts = entryHosts;
    }

    /** Measures each variant over the seeds and prints one line per variant. */
    public static void run(PrintStream out, int entryHosts, long firstSeed, int seeds) {
        SharesBench bench = new SharesBench(out, entryHosts);
        out.printf(
                Locale.ROOT,
                "shares: %d entry hosts, weights %s, %d seeds from %d, 10 s windows%n",
                entryHosts,
                VirtualFleetSpec.ofCurrentScale(entryHosts).teamWeights(),
                seeds,
                firstSeed);
        out.println("variant            worst-error-% (equal/skewed/uneven)  used-slots  return-s  "
                + "others-refused-% (calm/burst)  busy/request  report-B/s  violations");
        for (Variant variant : variants()) {
            bench.print(variant, firstSeed, seeds);
        }
    }

    /** Returns the variants to measure, baselines first. */
    public static List<Variant> variants() {
        PlacementPolicy probing = new PlacementPolicy.LocalProbing(2);
        return List.of(
                new Variant("fifo", new SharePolicy.Fifo(), probing, false),
                new Variant("fair-per-host", new SharePolicy.Weighted(), probing, false),
                new Variant("fair-fleet", new SharePolicy.Weighted(), probing, true),
                new Variant("fair-divided", new SharePolicy.Weighted(), new PlacementPolicy.DividedSlots(2), true));
    }

    private void print(Variant variant, long firstSeed, int seeds) {
        Saturation equal = new Saturation();
        Saturation skewed = new Saturation();
        Saturation uneven = new Saturation();
        Duration returned = Duration.ZERO;
        double calm = 0;
        double burst = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            measureSaturated(variant, seed, team -> 2.0, false, equal);
            measureSaturated(variant, seed, team -> team == 0 ? 10.0 : 1.5, false, skewed);
            measureSaturated(variant, seed, team -> 2.0, true, uneven);
            Duration back = timeToReturn(variant, seed);
            returned = returned.compareTo(back) > 0 ? returned : back;
            calm += othersRefused(variant, seed, 1) / seeds;
            burst += othersRefused(variant, seed, BURST_FACTOR) / seeds;
        }
        out.printf(
                Locale.ROOT,
                "%-18s %13.1f / %.1f / %-13.1f %12.1f %9s %14.2f / %-12.2f %12.2f %11.0f %11d%n",
                variant.name(),
                100 * equal.worstError,
                100 * skewed.worstError,
                100 * uneven.worstError,
                equal.usedSlots / seeds,
                returned.compareTo(AFTER_RETURN) > 0
                        ? "never"
                        : String.format(Locale.ROOT, "%.2f", returned.toMillis() / 1e3),
                100 * calm,
                100 * burst,
                equal.busyPerRequest / seeds,
                equal.reportBytesPerSecond / seeds,
                equal.violations + skewed.violations + uneven.violations);
    }

    /**
     * Adds the results of a saturated run; in an uneven one the large team's callers use a third of the entry hosts.
     */
    private void measureSaturated(Variant variant, long seed, Overload overload, boolean uneven, Saturation into) {
        VirtualFleetSpec spec = VirtualFleetSpec.ofCurrentScale(entryHosts).withServices(1);
        VirtualFleet fleet = VirtualFleet.create(spec, variant, seed);
        List<Double> idealRatios = idealRatios(spec);
        if (uneven) {
            fleet.limitToFirstEntryHosts(0, Math.max(1, entryHosts / 3));
        }
        fleet.startCallers(new Steady(spec, idealRatios, overload));
        ShareWindows windows = new ShareWindows(idealRatios.size());
        windows.run(fleet, WARM_UP.plus(SATURATED));
        into.worstError = Math.max(into.worstError, windows.worstError(idealRatios, WARM_UP, WINDOW));
        into.usedSlots += windows.meanUsedSlots((int) WARM_UP.dividedBy(ShareWindows.SAMPLE_INTERVAL), windows.size());
        into.reportBytesPerSecond += fleet.reportBytesPerSecond();
        into.busyPerRequest += busyPerAnswer(fleet);
        into.violations += fleet.counters().count(CounterCode.INVARIANT_VIOLATIONS);
    }

    private static double busyPerAnswer(VirtualFleet fleet) {
        long busy = 0;
        for (var worker : fleet.workers()) {
            busy += worker.busyRefusals();
        }
        return (double) busy / Math.max(1, fleet.outcomes().onTime());
    }

    /** Returns the longest time until a team that was idle has 90% of its share again, over two of the teams. */
    private Duration timeToReturn(Variant variant, long seed) {
        VirtualFleetSpec spec = VirtualFleetSpec.ofCurrentScale(entryHosts).withServices(1);
        List<Double> idealRatios = idealRatios(spec);
        Duration worst = Duration.ZERO;
        for (int team = 1; team < 3; team++) {
            int idle = team;
            VirtualFleet fleet = VirtualFleet.create(spec, variant, seed);
            Steady steady = new Steady(spec, idealRatios, any -> 2.0);
            fleet.startCallers(new IdleThenSteady(steady, idle, IDLE.toSeconds()));
            ShareWindows windows = new ShareWindows(idealRatios.size());
            windows.run(fleet, IDLE);
            int from = windows.size();
            windows.run(fleet, AFTER_RETURN);
            Duration back = windows.timeToReach(idle, 0.9 * idealRatios.get(idle), from);
            worst = worst.compareTo(back) > 0 ? worst : back;
        }
        return worst;
    }

    /**
     * Returns the ratio of the other teams' requests that are refused while the large team bursts on each queue in
     * turn.
     */
    private double othersRefused(Variant variant, long seed, double factor) {
        VirtualFleetSpec spec = VirtualFleetSpec.ofCurrentScale(entryHosts);
        VirtualFleet fleet = VirtualFleet.create(spec, variant, seed);
        fleet.startCallers(new Bursts(spec, factor));
        fleet.run(BURST_RUN);
        long sent = 0;
        long refused = 0;
        for (int team = 1; team < spec.teamWeights().size(); team++) {
            sent += fleet.outcomes(team).requests();
            refused += fleet.outcomes(team).refused();
        }
        return (double) refused / sent;
    }

    private static List<Double> idealRatios(VirtualFleetSpec spec) {
        double sum = spec.teamWeights().stream().mapToInt(Integer::intValue).sum();
        return spec.teamWeights().stream().map(weight -> weight / sum).toList();
    }

    /** Demand of a team as a multiple of its share. */
    private interface Overload {
        double demandFactor(int team);
    }

    private static final class Saturation {
        private double worstError;
        private double usedSlots;
        private double reportBytesPerSecond;
        private double busyPerRequest;
        private long violations;
    }

    private record Steady(VirtualFleetSpec spec, List<Double> idealRatios, Overload overload) implements LoadPlan {
        @Override
        public double ratePerSecond(int service, int team, double seconds) {
            return spec.capacityPerSecond() * idealRatios.get(team) * overload.demandFactor(team);
        }

        @Override
        public double maxRatePerSecond() {
            double highest = 0;
            for (int team = 0; team < idealRatios.size(); team++) {
                highest = Math.max(highest, ratePerSecond(0, team, 0));
            }
            return highest;
        }
    }

    private record IdleThenSteady(Steady steady, int idle, double untilSeconds) implements LoadPlan {
        @Override
        public double ratePerSecond(int service, int team, double seconds) {
            return team == idle && seconds < untilSeconds ? 0 : steady.ratePerSecond(service, team, seconds);
        }

        @Override
        public double maxRatePerSecond() {
            return steady.maxRatePerSecond();
        }
    }

    /**
     * The other teams evenly demand half of the pool; the large team's mean demand is 0.4 of it, in bursts or
     * constant.
     */
    private record Bursts(VirtualFleetSpec spec, double factor) implements LoadPlan {
        private static final double LARGE_TEAM_MEAN_RATIO = 0.4;
        private static final double OTHER_TEAMS_RATIO = 0.5;

        @Override
        public double ratePerSecond(int service, int team, double seconds) {
            int others = spec.teamWeights().size() - 1;
            if (team > 0) {
                return spec.capacityPerSecond() * OTHER_TEAMS_RATIO / others;
            }
            double mean = spec.capacityPerSecond() * LARGE_TEAM_MEAN_RATIO;
            if (factor == 1) {
                return mean;
            }
            int turn = (int) (seconds / BURST_SECONDS) % spec.services();
            return turn == service ? mean * factor : mean * QUIET_FACTOR;
        }

        @Override
        public double maxRatePerSecond() {
            return spec.capacityPerSecond() * LARGE_TEAM_MEAN_RATIO * factor;
        }
    }
}

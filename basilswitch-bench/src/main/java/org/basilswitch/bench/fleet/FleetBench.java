package org.basilswitch.bench.fleet;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

import org.basilswitch.fleet.LendingPolicy;

/** Prints wave durations and buffer costs of simulated fleets together with their baselines and targets. */
public final class FleetBench {
    private static final double WAVE_RATIO_TARGET = 1.15;
    private static final double WAVE_RATIO_TARGET_WITH_FAILURES = 1.5;

    private FleetBench() {}

    /** Prints the worst wave duration over the seeds for each kind of fleet; returns whether all targets were met. */
    public static boolean printWaves(PrintStream out, int seeds) {
        out.printf(
                "%-28s %6s %6s %10s %10s %7s %7s %s%n",
                "wave",
                "seeds",
                "hosts",
                "worst",
                "bound",
                "ratio",
                "target",
                "lost answers, seeds with repeated reboots, violations, not completed");
        boolean met = printWaveRow(out, "no failures", SimulatedFleetSpec.ofCurrentScale(), seeds, WAVE_RATIO_TARGET);
        met &= printWaveRow(
                out,
                "5% of hosts do not return",
                SimulatedFleetSpec.ofCurrentScale().withReturnFailures(0.05),
                seeds,
                WAVE_RATIO_TARGET_WITH_FAILURES);
        SimulatedFleetSpec faults =
                SimulatedFleetSpec.ofCurrentScale().withFaults(Duration.ofSeconds(20), Duration.ofSeconds(25), 0.05);
        met &= printWaveRow(out, "controllers killed and paused", faults, seeds, Double.MAX_VALUE);
        met &= printWaveRow(
                out,
                "8 pools of 40 hosts",
                SimulatedFleetSpec.ofCurrentScale().withSize(8, 40, 4),
                1,
                WAVE_RATIO_TARGET);
        return met;
    }

    private static boolean printWaveRow(
            PrintStream out, String name, SimulatedFleetSpec spec, int seeds, double target) {
        WaveReport worst = null;
        int lost = 0;
        int repeatedReboots = 0;
        int violations = 0;
        int notCompleted = 0;
        for (long seed = 1; seed <= seeds; seed++) {
            WaveReport report = WaveReport.run(spec, seed);
            worst = worst == null || report.ratio() > worst.ratio() ? report : worst;
            lost += report.lostAnswers();
            repeatedReboots += report.mostRebootsOfOneHost() > 1 ? 1 : 0;
            violations += report.violation().isPresent() ? 1 : 0;
            notCompleted += report.phase() == org.basilswitch.configuration.MaintenanceWave.Phase.COMPLETED ? 0 : 1;
        }
        String targetText = target == Double.MAX_VALUE ? "none" : String.format("%.2f", target);
        out.printf(
                "%-28s %6d %6d %9ds %9ds %7.3f %7s %d, %d, %d, %d%n",
                name,
                seeds,
                worst.hosts(),
                worst.duration().toSeconds(),
                worst.lowerBound().toSeconds(),
                worst.ratio(),
                targetText,
                lost,
                repeatedReboots,
                violations,
                notCompleted);
        return worst.ratio() <= target && lost + repeatedReboots + violations + notCompleted == 0;
    }

    /** Prints the cost and coverage of the buffer of spare hosts under each lending policy. */
    public static void printBuffers(PrintStream out, Duration duration, long seed) {
        out.printf(
                "%-44s %6s %10s %6s %12s %12s %s%n",
                "buffer over " + duration.toHours() + " h",
                "hosts",
                "idle h",
                "moves",
                "refused",
                "short host h",
                "violation");
        SimulatedFleetSpec today = SimulatedFleetSpec.ofCurrentScale();
        SimulatedFleetSpec padded = today.withSize(today.pools(), today.hostsPerPool() + today.hostsPerRack(), 2);
        printBufferRow(
                out,
                "fixed pools, one more rack each",
                padded.withoutTasks(0),
                new LendingPolicy.Fixed(),
                duration,
                seed);
        LendingPolicy threshold = new LendingPolicy.Threshold(0.9, 0.5);
        for (int spare : List.of(4, 8)) {
            SimulatedFleetSpec spec = today.withoutTasks(spare);
            printBufferRow(out, "no lending, spare pool of " + spare, spec, new LendingPolicy.Fixed(), duration, seed);
            printBufferRow(out, "threshold rule, spare pool of " + spare, spec, threshold, duration, seed);
            printBufferRow(
                    out, "smoothed, spare pool of " + spare, spec, LendingPolicy.defaultPolicy(), duration, seed);
        }
    }

    private static void printBufferRow(
            PrintStream out, String name, SimulatedFleetSpec spec, LendingPolicy policy, Duration duration, long seed) {
        BufferReport report = BufferReport.run(spec, policy, duration, seed);
        out.printf(
                "%-44s %6d %10.1f %6d %11.2f%% %12.1f %s%n",
                name,
                report.hosts(),
                report.idleHostHours(),
                report.moves(),
                100 * report.refusedSlotHours() / report.demandSlotHours(),
                report.shortHostHours(),
                report.violation().isEmpty() ? "none" : report.violation());
    }
}

package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.fleet.FleetOptions;

/**
 * Outcome of one simulated wave.
 *
 * @param hosts hosts of the wave
 * @param done hosts maintained
 * @param phase the wave's last phase
 * @param duration time until the wave ended, or the time allowed
 * @param lowerBound hosts times reboot time over budget, in the pool with most hosts
 * @param lostAnswers answers lost by reboots
 * @param mostRebootsOfOneHost most reboots of any one host
 * @param storeCalls store calls of all members
 * @param violation a violated invariant
 */
public record WaveReport(
        int hosts,
        int done,
        MaintenanceWave.Phase phase,
        Duration duration,
        Duration lowerBound,
        int lostAnswers,
        int mostRebootsOfOneHost,
        long storeCalls,
        Optional<String> violation) {

    private static final Duration SETTLE_TIME = Duration.ofSeconds(10);
    private static final Duration STEP = Duration.ofSeconds(5);
    private static final String WAVE = "wave-1";

    /** Runs one wave over a whole fleet. */
    public static WaveReport run(SimulatedFleetSpec spec, long seed) {
        FleetRun run = FleetRun.create(spec, FleetOptions.defaults(), pool -> java.util.OptionalInt.empty(), seed);
        run.runFor(SETTLE_TIME);
        int hosts = run.configuration().hosts().size();
        run.startWave(WAVE, hosts);
        Duration started = run.elapsed();
        Duration bound = lowerBound(spec);
        Duration allowed = bound.multipliedBy(4).plus(Duration.ofMinutes(30));
        while (run.wave(WAVE).phase() == MaintenanceWave.Phase.RUNNING
                && run.elapsed().minus(started).compareTo(allowed) < 0) {
            run.runFor(STEP);
        }
        MaintenanceWave wave = run.wave(WAVE);
        return new WaveReport(
                hosts,
                wave.done().size(),
                wave.phase(),
                run.elapsed().minus(started),
                bound,
                run.lostAnswers(),
                run.mostRebootsOfOneHost(),
                run.storeCalls(),
                run.violation());
    }

    private static Duration lowerBound(SimulatedFleetSpec spec) {
        int most = Math.max(spec.hostsPerPool(), spec.spareHosts());
        long rounds = (most + spec.budgetHosts() - 1) / spec.budgetHosts();
        return spec.rebootTime().multipliedBy(rounds);
    }

    /** Duration over lower bound. */
    public double ratio() {
        return (double) duration.toNanos() / lowerBound.toNanos();
    }
}

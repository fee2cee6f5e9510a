package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.Optional;

import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.fleet.FleetOptions;

/**
 * Result of one simulated wave.
 *
 * @param hosts number of hosts of the wave
 * @param done number of hosts maintained
 * @param phase phase at the end
 * @param duration virtual time until the wave ended, or the time limit
 * @param lowerBound reboot time times the number of rounds that the largest pool needs within its budget
 * @param lostAnswers number of answers lost by reboots
 * @param mostRebootsOfOneHost largest number of reboots of one host
 * @param storeCalls number of store calls of all members
 * @param violation last violated invariant; empty when there was none
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

    /** Simulates one wave over all hosts of a fleet. */
    public static WaveReport run(SimulatedFleetSpec spec, long seed) {
        FleetRun run = FleetRun.create(spec, FleetOptions.defaults(), pool -> java.util.OptionalInt.empty(), seed);
        run.runFor(SETTLE_TIME);
        int hosts = run.configuration().hosts().size();
        run.startWave(WAVE, hosts);
        Duration started = run.elapsed();
        Duration bound = lowerBound(spec);
        Duration timeLimit = bound.multipliedBy(4).plus(Duration.ofMinutes(30));
        while (run.wave(WAVE).phase() == MaintenanceWave.Phase.RUNNING
                && run.elapsed().minus(started).compareTo(timeLimit) < 0) {
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
        int maxHosts = Math.max(spec.hostsPerPool(), spec.spareHosts());
        long rounds = (maxHosts + spec.budgetHosts() - 1) / spec.budgetHosts();
        return spec.rebootTime().multipliedBy(rounds);
    }

    /** Returns the duration as a multiple of the lower bound. */
    public double ratio() {
        return (double) duration.toNanos() / lowerBound.toNanos();
    }
}

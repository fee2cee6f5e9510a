package org.basilswitch.bench.fleet;

import java.time.Duration;

import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave.Phase;
import org.basilswitch.fleet.FleetOptions;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests waves on virtual time under faults, with the fleet's invariants checked at every write. */
public final class WaveRunTest {
    private static final double MAX_RATIO = 1.15;
    private static final double MAX_RATIO_WITH_FAILURES = 1.5;
    private static final int FAULT_SEEDS = 12;

    private static void assertSafe(WaveReport report, long seed) {
        assertEquals(report.violation().orElse(""), "", "seed " + seed);
        assertEquals(report.lostAnswers(), 0, "seed " + seed);
        assertTrue(report.mostRebootsOfOneHost() <= 1, "seed " + seed + " " + report);
    }

    /** Without failures every host is maintained once, and the duration is close to the lower bound. */
    @Test
    public void waveWithoutFailuresEndsNearLowerBound() {
        WaveReport report = WaveReport.run(SimulatedFleetSpec.ofCurrentScale(), 1);
        assertSafe(report, 1);
        assertEquals(report.done(), report.hosts());
        assertTrue(report.ratio() <= MAX_RATIO, report.toString());
    }

    /** When 5% of the hosts do not return, the wave still completes. */
    @Test
    public void waveCompletesWhenFewHostsDoNotReturn() {
        for (long seed = 1; seed <= 5; seed++) {
            WaveReport report =
                    WaveReport.run(SimulatedFleetSpec.ofCurrentScale().withReturnFailures(0.05), seed);
            assertSafe(report, seed);
            assertEquals(report.phase(), Phase.COMPLETED, "seed " + seed + " " + report);
            assertTrue(report.ratio() <= MAX_RATIO_WITH_FAILURES, "seed " + seed + " " + report);
        }
    }

    /** When 90% of the hosts do not return, the wave halts instead of rebooting the rest of the fleet. */
    @Test
    public void waveHaltsWhenMostHostsDoNotReturn() {
        WaveReport report = WaveReport.run(SimulatedFleetSpec.ofCurrentScale().withReturnFailures(0.9), 3);
        assertSafe(report, 3);
        assertEquals(report.phase(), Phase.HALTED, report.toString());
    }

    /**
     * Killed and paused controllers and lost store answers must cause no second reboot, lost answer or exceeded
     * budget.
     */
    @Test
    public void waveSurvivesControllersKilledAndPaused() {
        SimulatedFleetSpec spec =
                SimulatedFleetSpec.ofCurrentScale().withFaults(Duration.ofSeconds(20), Duration.ofSeconds(25), 0.05);
        for (long seed = 1; seed <= FAULT_SEEDS; seed++) {
            WaveReport report = WaveReport.run(spec, seed);
            assertSafe(report, seed);
            assertEquals(report.done(), report.hosts(), "seed " + seed + " " + report);
        }
    }

    /** An operator and a wave that drain hosts concurrently must not together take a pool below its minimum. */
    @Test
    public void waveKeepsBudgetsWithConcurrentOperatorDrains() {
        SimulatedFleetSpec spec = SimulatedFleetSpec.ofCurrentScale().withOperator(Duration.ofMillis(50));
        for (long seed = 1; seed <= 3; seed++) {
            WaveReport report = WaveReport.run(spec, seed);
            assertSafe(report, seed);
        }
    }

    /** A host is rebooted only after its last request has ended, also when requests run long. */
    @Test
    public void waveWaitsForLongRequests() {
        for (long seed = 1; seed <= 2; seed++) {
            WaveReport report =
                    WaveReport.run(SimulatedFleetSpec.ofCurrentScale().withTaskTime(Duration.ofSeconds(6)), seed);
            assertSafe(report, seed);
            assertEquals(report.done(), report.hosts(), report.toString());
        }
    }

    /** A host is rebooted only once its draining is in force, when no entry host can send to it on an older view. */
    @Test
    public void waveWaitsUntilDrainingIsInForce() {
        for (long seed = 1; seed <= 2; seed++) {
            WaveReport report =
                    WaveReport.run(SimulatedFleetSpec.ofCurrentScale().withInForceDelay(Duration.ofSeconds(3)), seed);
            assertSafe(report, seed);
            assertEquals(report.done(), report.hosts(), report.toString());
        }
    }

    /** When a rack fails during a wave, the spare pool lends hosts, budgets are kept, and the wave completes. */
    @Test
    public void waveKeepsBudgetsWhileRackIsDown() {
        FleetRun run = FleetRun.create(
                SimulatedFleetSpec.ofCurrentScale(), FleetOptions.defaults(), pool -> java.util.OptionalInt.empty(), 5);
        run.runFor(Duration.ofSeconds(10));
        run.startWave("w", 40);
        run.runFor(Duration.ofSeconds(130));
        run.failRack("rack-1", Duration.ofMinutes(5));
        run.runFor(Duration.ofMinutes(3));
        long active = run.configuration().hostsOf("pool-0").stream()
                .filter(host -> host.state() == HostState.ACTIVE)
                .count();
        assertTrue(active >= 6, "active hosts after lending for the failed rack: " + active);
        run.runFor(Duration.ofMinutes(30));
        assertEquals(run.wave("w").phase(), Phase.COMPLETED);
        assertEquals(run.violation().orElse(""), "");
        assertEquals(run.lostAnswers(), 0);
    }

    /**
     * A paused wave drains and reboots no host, its draining hosts return to service, and it completes once resumed.
     */
    @Test
    public void pausedWaveDrainsNoHost() {
        FleetRun run = FleetRun.create(
                SimulatedFleetSpec.ofCurrentScale(), FleetOptions.defaults(), pool -> java.util.OptionalInt.empty(), 6);
        run.runFor(Duration.ofSeconds(10));
        run.startWave("w", 40);
        run.runFor(Duration.ofSeconds(60));
        run.setPhase("w", Phase.PAUSED);
        run.runFor(Duration.ofMinutes(5));
        int reboots = run.reboots();
        run.runFor(Duration.ofMinutes(5));
        assertEquals(run.reboots(), reboots);
        assertTrue(run.configuration().hosts().values().stream().allMatch(h -> h.state() == HostState.ACTIVE));
        run.setPhase("w", Phase.RUNNING);
        run.runFor(Duration.ofMinutes(30));
        assertEquals(run.wave("w").phase(), Phase.COMPLETED);
    }
}

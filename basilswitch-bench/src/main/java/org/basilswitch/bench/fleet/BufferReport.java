package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.fleet.FleetOptions;
import org.basilswitch.fleet.LendingPolicy;
import org.basilswitch.fleet.PoolDemand;

/**
 * Cost and coverage of a buffer of spare hosts over a simulated period.
 *
 * @param hosts number of hosts of the fleet
 * @param idleHostHours host hours in excess of those that the mean demand needs
 * @param moves number of moves of hosts between pools
 * @param demandSlotHours total demand, in slot hours
 * @param refusedSlotHours demand that waited longer than its deadline for a slot, in slot hours
 * @param shortHostHours host hours that pools lacked for their mean demand
 * @param violation last violated invariant; empty when there was none
 */
public record BufferReport(
        int hosts,
        double idleHostHours,
        int moves,
        double demandSlotHours,
        double refusedSlotHours,
        double shortHostHours,
        String violation) {

    private static final Duration STEP = Duration.ofSeconds(1);
    private static final double DEADLINE_SECONDS = 30;
    private static final double FAILURES_PER_HOST_DAY = 410.0 / 24_000;
    private static final Duration HOST_OUTAGE = Duration.ofHours(2);
    private static final Duration RACK_OUTAGE = Duration.ofHours(1);
    private static final int SLOTS_PER_HOST = 8;
    private static final double SECONDS_PER_HOUR = 3600;

    /** Simulates a fleet under one lending policy for a duration of virtual time. */
    public static BufferReport run(SimulatedFleetSpec spec, LendingPolicy policy, Duration duration, long seed) {
        Simulation run = new Simulation(spec, policy, seed);
        long steps = duration.dividedBy(STEP);
        for (long i = 0; i < steps; i++) {
            run.step(duration);
        }
        return run.report();
    }

    private static final class Simulation {
        private final PoolLoad load;
        private final UniformRandomProvider random;
        private final Map<String, Double> backlogSlots = new HashMap<>();
        private final FleetRun fleet;
        private Duration at = Duration.ZERO;
        private double idleHostSeconds;
        private double shortHostSeconds;
        private double demandSlotSeconds;
        private double refusedSlotSeconds;

        private Simulation(SimulatedFleetSpec spec, LendingPolicy policy, long seed) {
            load = new PoolLoad(spec.pools(), 10, 56);
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            PoolDemand demand = this::demand;
            fleet = FleetRun.create(spec, FleetOptions.defaults().withLending(policy), demand, seed);
        }

        private OptionalInt demand(String pool) {
            int index = fleet.pools().indexOf(pool);
            return pool.equals(FleetRun.SPARE_POOL) ? OptionalInt.empty() : OptionalInt.of(load.slots(index, at));
        }

        private void step(Duration duration) {
            fleet.runFor(STEP);
            at = at.plus(STEP);
            injectFailures(duration);
            List<Host> hosts = fleet.hosts();
            double needed = 0;
            List<String> pools = fleet.pools();
            for (int i = 0; i < pools.size() - 1; i++) {
                needed += load.meanSlots(i, at) / SLOTS_PER_HOST;
                recordDemand(pools.get(i), i, hosts);
            }
            idleHostSeconds += Math.max(0, hosts.size() - needed);
        }

        private void recordDemand(String pool, int index, List<Host> hosts) {
            long active = hosts.stream()
                    .filter(host -> host.pool().equals(pool) && host.state() == HostState.ACTIVE)
                    .count();
            double capacity = active * SLOTS_PER_HOST;
            double demand = load.slots(index, at);
            double waiting = Math.max(0, backlogSlots.getOrDefault(pool, 0.0) + demand - capacity);
            double refused = Math.max(0, waiting - capacity * DEADLINE_SECONDS);
            backlogSlots.put(pool, waiting - refused);
            demandSlotSeconds += demand;
            refusedSlotSeconds += refused;
            shortHostSeconds += Math.max(0, load.meanSlots(index, at) / SLOTS_PER_HOST - active);
        }

        private void injectFailures(Duration duration) {
            double perSecond = FAILURES_PER_HOST_DAY / Duration.ofDays(1).toSeconds();
            for (Host host : fleet.hosts()) {
                if (random.nextDouble() < perSecond) {
                    fleet.failHost(host.name(), HOST_OUTAGE);
                }
            }
            // One rack of the first pool loses power in the middle of the run.
            if (at.equals(Duration.ofSeconds(duration.toSeconds() / 2))) {
                fleet.failRack("rack-1", RACK_OUTAGE);
            }
        }

        private BufferReport report() {
            return new BufferReport(
                    fleet.hosts().size(),
                    idleHostSeconds / SECONDS_PER_HOUR,
                    fleet.moves(),
                    demandSlotSeconds / SECONDS_PER_HOUR,
                    refusedSlotSeconds / SECONDS_PER_HOUR,
                    shortHostSeconds / SECONDS_PER_HOUR,
                    fleet.violation().orElse(""));
        }
    }
}

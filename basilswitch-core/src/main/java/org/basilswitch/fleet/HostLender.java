package org.basilswitch.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;

/**
 * Moves hosts between the spare pool and the others: the spare pool's controller lends, another pool's controller gives
 * back. Each takes hosts out of its own pool only, within that pool's availability budget.
 *
 * <p>Hysteresis: demand is smoothed, a pool gives back only when it has two hosts more than it needs, and two moves of
 * one pool are a hold time apart.
 */
final class HostLender {
    private static final int GIVE_BACK_SURPLUS_HOSTS = 2;

    private final FleetContext context;
    private final HostStepper stepper;
    private final String pool;
    private final PoolDemand demand;
    private final Map<String, DemandEstimate> estimates = new HashMap<>();
    private final Map<String, Long> heldUntilNanos = new HashMap<>();

    HostLender(FleetContext context, HostStepper stepper, String pool, PoolDemand demand) {
        this.context = context;
        this.stepper = stepper;
        this.pool = pool;
        this.demand = demand;
    }

    /** Starts at most one move. */
    void run(SiteConfiguration view) {
        Pool own = view.pools().get(pool);
        Optional<String> spare = spare(view);
        if (own == null || spare.isEmpty()) {
            return;
        }
        if (own.spare()) {
            mostShort(view).ifPresent(borrower -> move(view, borrower, borrower));
        } else if (surplus(view, own) >= GIVE_BACK_SURPLUS_HOSTS) {
            move(view, spare.get(), pool);
        }
    }

    private static Optional<String> spare(SiteConfiguration view) {
        return view.pools().values().stream()
                .filter(Pool::spare)
                .map(Pool::name)
                .sorted()
                .findFirst();
    }

    private Optional<String> mostShort(SiteConfiguration view) {
        Map<String, Integer> shortages = new TreeMap<>();
        for (Pool other : view.pools().values()) {
            int shortage = other.spare() ? 0 : shortage(view, other);
            if (shortage > 0 && !onHold(other.name())) {
                shortages.put(other.name(), shortage);
            }
        }
        return shortages.keySet().stream().max(Comparator.comparingInt(shortages::get));
    }

    /** Hosts that a pool lacks for its demand, or for a wave that runs in it. */
    private int shortage(SiteConfiguration view, Pool other) {
        PoolCensus census = PoolCensus.of(view, other.name());
        int incoming = incoming(view, other.name());
        int need = Math.max(demandHosts(view, other).orElse(0), other.minAvailableHosts());
        int forDemand = need - serving(census) - incoming;
        if (!waveRuns(view, other)) {
            return forDemand;
        }
        int usable = census.total() - census.in(HostState.FAULTY) - census.in(HostState.DOWN);
        int wanted = other.minAvailableHosts() + context.options().waveHeadroomHosts();
        return Math.max(forDemand, wanted - usable - incoming);
    }

    /** Hosts that a pool has beyond its need; zero while its demand is unknown or a wave runs in it. */
    private int surplus(SiteConfiguration view, Pool own) {
        OptionalInt demandHosts = demandHosts(view, own);
        if (demandHosts.isEmpty() || waveRuns(view, own)) {
            return 0;
        }
        int need = Math.max(demandHosts.getAsInt(), own.minAvailableHosts());
        return serving(PoolCensus.of(view, own.name())) - need;
    }

    private static int serving(PoolCensus census) {
        return census.active() + census.in(HostState.RETURNING) + census.in(HostState.REBOOTING);
    }

    private OptionalInt demandHosts(SiteConfiguration view, Pool other) {
        OptionalInt slots = demand.slots(other.name());
        if (slots.isEmpty()) {
            return OptionalInt.empty();
        }
        double smoothed = estimates
                .computeIfAbsent(
                        other.name(),
                        name -> new DemandEstimate(context.options().demandWindow()))
                .add(slots.getAsInt(), context.clock().monotonicNanos());
        int slotsPerHost =
                view.hostsOf(other.name()).stream().mapToInt(Host::slots).max().orElse(1);
        double utilised = slotsPerHost * context.options().targetUtilisation();
        return OptionalInt.of((int) Math.ceil(smoothed / utilised));
    }

    private static boolean waveRuns(SiteConfiguration view, Pool other) {
        return view.waves().values().stream()
                .filter(wave -> wave.phase() == MaintenanceWave.Phase.RUNNING)
                .anyMatch(wave -> view.hostsOf(other.name()).stream()
                        .anyMatch(host -> wave.hosts().contains(host.name())
                                && !wave.done().contains(host.name())));
    }

    private int incoming(SiteConfiguration view, String name) {
        return (int) view.hostsOf(pool).stream()
                .filter(host -> host.state() == HostState.DRAINING)
                .filter(host -> stepper.progressOf(host)
                        .filter(progress -> progress.purpose() == HostProgress.Purpose.MOVE)
                        .filter(progress -> progress.target().equals(name))
                        .isPresent())
                .count();
    }

    private boolean onHold(String name) {
        return context.clock().monotonicNanos() < heldUntilNanos.getOrDefault(name, Long.MIN_VALUE);
    }

    private void move(SiteConfiguration view, String target, String holdKey) {
        if (onHold(holdKey)) {
            return;
        }
        PoolCensus census = PoolCensus.of(view, pool);
        Optional<Host> candidate = view.hostsOf(pool).stream()
                .filter(host -> host.state() == HostState.ACTIVE && !stepper.isBusy(host))
                .min(Comparator.comparingInt((Host host) -> -census.outInRack(host.rack()))
                        .thenComparing(Comparator.comparing(Host::name).reversed()));
        if (candidate.isEmpty()) {
            return;
        }
        heldUntilNanos.put(
                holdKey,
                context.clock().monotonicNanos() + context.options().moveHold().toNanos());
        HostProgress progress = HostProgress.draining(
                HostProgress.Purpose.MOVE, target, context.clock().millis());
        stepper.drain(candidate.get(), progress, UnaryOperator.identity());
    }
}

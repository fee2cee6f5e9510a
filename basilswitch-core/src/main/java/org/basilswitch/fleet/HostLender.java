package org.basilswitch.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;

/**
 * Moves hosts between the spare pool and the others: the spare pool's controller lends, another pool's controller gives
 * back. Each takes hosts out of its own pool only, within that pool's availability budget.
 *
 * <p>When a pool borrows or gives back is its {@link HostNeed}'s to say, by the lending policy.
 */
final class HostLender {
    private static final Duration LOANS_READ_INTERVAL = Duration.ofSeconds(5);

    private final FleetContext context;
    private final HostLifecycleController lifecycleController;
    private final String pool;
    private final PoolDemand demand;
    private final Map<String, HostRequirement> needs = new HashMap<>();
    private final Map<String, Long> heldUntilNanos = new HashMap<>();

    HostLender(FleetContext context, HostLifecycleController stepper, String pool, PoolDemand demand) {
        this.context = context;
        this.lifecycleController = stepper;
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
            mostShort(view).ifPresent(borrower -> move(view, borrower, borrower, host -> true));
        } else if (givesBack(view, own) && !onHold(pool)) {
            giveBack(spare.get());
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
        PoolHostCounts census = PoolHostCounts.of(view, other.name());
        int incoming = incoming(view, other.name());
        int need = sampled(other)
                .map(found -> found.borrowBelow(slotsPerHost(view, other), other.minAvailableHosts()))
                .orElse(other.minAvailableHosts());
        int forDemand = need - serving(census) - incoming;
        if (!waveRuns(view, other)) {
            return forDemand;
        }
        int usable = census.total() - census.inState(HostState.FAULTY) - census.inState(HostState.DOWN);
        int wanted = other.minAvailableHosts() + context.options().waveHeadroomHosts();
        return Math.max(forDemand, wanted - usable - incoming);
    }

    /** Whether a pool has hosts beyond its need; not while its demand is unknown or a wave runs in it. */
    private boolean givesBack(SiteConfiguration view, Pool own) {
        Optional<HostRequirement> need = sampled(own);
        if (need.isEmpty() || waveRuns(view, own)) {
            return false;
        }
        int from = need.get().giveBackFrom(slotsPerHost(view, own), own.minAvailableHosts());
        return PoolHostCounts.of(view, own.name()).active() >= from;
    }

    private static int serving(PoolHostCounts census) {
        return census.active() + census.inState(HostState.RETURNING) + census.inState(HostState.REBOOTING);
    }

    private Optional<HostRequirement> sampled(Pool other) {
        OptionalInt slots = demand.slots(other.name());
        if (slots.isEmpty()) {
            return Optional.empty();
        }
        HostRequirement need = needs.computeIfAbsent(
                other.name(), name -> new HostRequirement(context.options().lending()));
        need.sample(slots.getAsInt(), context.clock().monotonicNanos());
        return Optional.of(need);
    }

    private static int slotsPerHost(SiteConfiguration view, Pool other) {
        return view.hostsOf(other.name()).stream().mapToInt(Host::slots).max().orElse(1);
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
                .filter(host -> lifecycleController
                        .progressOf(host)
                        .filter(progress -> progress.purpose() == HostProgress.Purpose.MOVE)
                        .filter(progress -> progress.target().equals(name))
                        .isPresent())
                .count();
    }

    private boolean onHold(String name) {
        return context.clock().monotonicNanos() < heldUntilNanos.getOrDefault(name, Long.MIN_VALUE);
    }

    /** Gives one lent host back; a pool keeps the hosts that it did not borrow. */
    private void giveBack(String spare) {
        hold(pool, LOANS_READ_INTERVAL);
        context.store()
                .range(context.keys().loans())
                .thenAccept(result -> result.peek(loans -> {
                    Set<String> lent = loans.entries().stream()
                            .map(entry ->
                                    entry.key().substring(context.keys().loans().length()))
                            .collect(Collectors.toSet());
                    move(context.configuration().get(), spare, pool, host -> lent.contains(host.name()));
                }));
    }

    private void hold(String key, Duration time) {
        heldUntilNanos.put(key, context.clock().monotonicNanos() + time.toNanos());
    }

    private void move(SiteConfiguration view, String target, String holdKey, Predicate<Host> movable) {
        PoolHostCounts census = PoolHostCounts.of(view, pool);
        Optional<Host> candidate = view.hostsOf(pool).stream()
                .filter(host -> host.state() == HostState.ACTIVE && !lifecycleController.isBusy(host))
                .filter(movable)
                .min(Comparator.comparingInt((Host host) -> -census.unavailableInRack(host.rack()))
                        .thenComparing(Comparator.comparing(Host::name).reversed()));
        int least = view.pools().get(pool).minAvailableHosts();
        if (candidate.isEmpty() || census.active() <= least) {
            return;
        }
        Optional.ofNullable(needs.get(holdKey)).ifPresent(need -> hold(holdKey, need.hold()));
        HostProgress progress = HostProgress.draining(
                HostProgress.Purpose.MOVE, target, context.clock().millis());
        lifecycleController.drain(candidate.get(), progress, UnaryOperator.identity());
    }
}

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
 * Moves hosts between the spare pool and the other pools.
 *
 * <p>The spare pool's controller lends hosts, and every other pool's controller returns them. Each controller takes
 * hosts out of its own pool only, within that pool's availability budget. {@link HostRequirement} decides, by the
 * lending policy, when a pool borrows or returns a host.
 */
final class HostLender {
    private static final Duration LOANS_READ_INTERVAL = Duration.ofSeconds(5);

    private final FleetContext context;
    private final HostLifecycleController lifecycleController;
    private final String pool;
    private final PoolDemand demand;
    private final Map<String, HostRequirement> requirements = new HashMap<>();
    private final Map<String, Long> blockedUntilNanos = new HashMap<>();

    HostLender(FleetContext context, HostLifecycleController lifecycleController, String pool, PoolDemand demand) {
        this.context = context;
        this.lifecycleController = lifecycleController;
        this.pool = pool;
        this.demand = demand;
    }

    /** Evaluates the pool and starts at most one move. */
    void run(SiteConfiguration view) {
        Pool ownPool = view.pools().get(pool);
        Optional<String> sparePoolName = sparePool(view);
        if (ownPool == null || sparePoolName.isEmpty()) {
            return;
        }
        if (ownPool.spare()) {
            mostShortPool(view).ifPresent(borrower -> startMove(view, borrower, borrower, host -> true));
        } else if (hasSurplus(view, ownPool) && !isBlocked(pool)) {
            returnLentHost(sparePoolName.get());
        }
    }

    private static Optional<String> sparePool(SiteConfiguration view) {
        return view.pools().values().stream()
                .filter(Pool::spare)
                .map(Pool::name)
                .sorted()
                .findFirst();
    }

    private Optional<String> mostShortPool(SiteConfiguration view) {
        Map<String, Integer> shortages = new TreeMap<>();
        for (Pool other : view.pools().values()) {
            int shortage = other.spare() ? 0 : shortage(view, other);
            if (shortage > 0 && !isBlocked(other.name())) {
                shortages.put(other.name(), shortage);
            }
        }
        return shortages.keySet().stream().max(Comparator.comparingInt(shortages::get));
    }

    /** Returns the number of hosts that a pool lacks for its demand or for a running wave. */
    private int shortage(SiteConfiguration view, Pool other) {
        PoolHostCounts counts = PoolHostCounts.of(view, other.name());
        int incoming = incomingHosts(view, other.name());
        int requirement = sampleRequirement(other)
                .map(found -> found.borrowThresholdHosts(slotsPerHost(view, other), other.minAvailableHosts()))
                .orElse(other.minAvailableHosts());
        int demandShortage = requirement - servingHosts(counts) - incoming;
        if (!hasPendingWave(view, other)) {
            return demandShortage;
        }
        int usableHosts = counts.total() - counts.inState(HostState.FAULTY) - counts.inState(HostState.DOWN);
        int neededHosts = other.minAvailableHosts() + context.options().waveHeadroomHosts();
        return Math.max(demandShortage, neededHosts - usableHosts - incoming);
    }

    /** Returns whether a pool can return a host; false while its demand is unknown or a wave runs in it. */
    private boolean hasSurplus(SiteConfiguration view, Pool ownPool) {
        Optional<HostRequirement> requirement = sampleRequirement(ownPool);
        if (requirement.isEmpty() || hasPendingWave(view, ownPool)) {
            return false;
        }
        int returnThreshold =
                requirement.get().returnThresholdHosts(slotsPerHost(view, ownPool), ownPool.minAvailableHosts());
        return PoolHostCounts.of(view, ownPool.name()).active() >= returnThreshold;
    }

    private static int servingHosts(PoolHostCounts counts) {
        return counts.active() + counts.inState(HostState.RETURNING) + counts.inState(HostState.REBOOTING);
    }

    private Optional<HostRequirement> sampleRequirement(Pool other) {
        OptionalInt slots = demand.slots(other.name());
        if (slots.isEmpty()) {
            return Optional.empty();
        }
        HostRequirement requirement = requirements.computeIfAbsent(
                other.name(), name -> new HostRequirement(context.options().lending()));
        requirement.sample(slots.getAsInt(), context.clock().monotonicNanos());
        return Optional.of(requirement);
    }

    private static int slotsPerHost(SiteConfiguration view, Pool other) {
        return view.hostsOf(other.name()).stream().mapToInt(Host::slots).max().orElse(1);
    }

    private static boolean hasPendingWave(SiteConfiguration view, Pool other) {
        return view.waves().values().stream()
                .filter(wave -> wave.phase() == MaintenanceWave.Phase.RUNNING)
                .anyMatch(wave -> view.hostsOf(other.name()).stream()
                        .anyMatch(host -> wave.hosts().contains(host.name())
                                && !wave.done().contains(host.name())));
    }

    private int incomingHosts(SiteConfiguration view, String name) {
        return (int) view.hostsOf(pool).stream()
                .filter(host -> host.state() == HostState.DRAINING)
                .filter(host -> lifecycleController
                        .progressOf(host)
                        .filter(progress -> progress.purpose() == HostProgress.Purpose.MOVE)
                        .filter(progress -> progress.target().equals(name))
                        .isPresent())
                .count();
    }

    private boolean isBlocked(String name) {
        return context.clock().monotonicNanos() < blockedUntilNanos.getOrDefault(name, Long.MIN_VALUE);
    }

    /** Starts to return one borrowed host; a pool keeps the hosts that it did not borrow. */
    private void returnLentHost(String sparePoolName) {
        block(pool, LOANS_READ_INTERVAL);
        context.store()
                .range(context.keys().loans())
                .thenAccept(result -> result.peek(loans -> {
                    Set<String> lentHosts = loans.entries().stream()
                            .map(entry ->
                                    entry.key().substring(context.keys().loans().length()))
                            .collect(Collectors.toSet());
                    startMove(
                            context.configuration().get(),
                            sparePoolName,
                            pool,
                            host -> lentHosts.contains(host.name()));
                }));
    }

    private void block(String key, Duration duration) {
        blockedUntilNanos.put(key, context.clock().monotonicNanos() + duration.toNanos());
    }

    private void startMove(SiteConfiguration view, String target, String blockKey, Predicate<Host> movable) {
        PoolHostCounts counts = PoolHostCounts.of(view, pool);
        Optional<Host> candidate = view.hostsOf(pool).stream()
                .filter(host -> host.state() == HostState.ACTIVE && !lifecycleController.isBusy(host))
                .filter(movable)
                .min(Comparator.comparingInt((Host host) -> -counts.unavailableInRack(host.rack()))
                        .thenComparing(Comparator.comparing(Host::name).reversed()));
        int minAvailableHosts = view.pools().get(pool).minAvailableHosts();
        if (candidate.isEmpty() || counts.active() <= minAvailableHosts) {
            return;
        }
        Optional.ofNullable(requirements.get(blockKey))
                .ifPresent(requirement -> block(blockKey, requirement.minMoveInterval()));
        HostProgress progress = HostProgress.draining(
                HostProgress.Purpose.MOVE, target, context.clock().millis());
        lifecycleController.drain(candidate.get(), progress, UnaryOperator.identity());
    }
}

package org.basilswitch.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;

/**
 * Keeps this entry host's view of the backend servers of one pool and selects servers for attempts.
 *
 * <p>A server that fails repeatedly or stops answering is ejected and returns after single probes succeed. At most half
 * of the pool's servers are ejected at a time.
 */
public final class PoolServers {
    private static final Duration MIN_UNANSWERED_AGE = Duration.ofMillis(500);
    private static final double MAX_UNANSWERED_SERVICE_TIMES = 12;
    private static final double SERVICE_TIME_SMOOTHING = 0.05;
    private static final double UNDERSERVED_PAUSE_SERVICE_TIMES = 0.1;
    private static final double DEFAULT_PAUSE_SERVICE_TIMES = 0.3;

    private final String pool;
    private final String zone;
    private final PlacementPolicy placementPolicy;
    private final Clock clock;
    private final UniformRandomProvider random;
    private final LiveHosts liveHosts;
    private final Telemetry telemetry;
    private final Map<String, CandidateServer> serversByName = new HashMap<>();
    private List<Host> configuredHosts = List.of();
    private List<CandidateServer> active = List.of();
    private double meanServiceNanos;
    private int nextRoundRobin;
    private long otherSlotsPauseUntilNanos;
    private double otherSlotsPauseServiceTimes = UNDERSERVED_PAUSE_SERVICE_TIMES;

    private PoolServers(
            String pool,
            String zone,
            PlacementPolicy placementPolicy,
            Clock clock,
            UniformRandomProvider random,
            LiveHosts liveHosts,
            Telemetry telemetry) {
        this.pool = pool;
        this.zone = zone;
        this.placementPolicy = placementPolicy;
        this.clock = clock;
        this.random = random;
        this.liveHosts = liveHosts;
        this.telemetry = telemetry;
    }

    /** Creates the view of a pool as seen from an entry host in the given availability zone. */
    public static PoolServers create(
            String pool,
            String zone,
            PlacementPolicy placementPolicy,
            Clock clock,
            UniformRandomProvider random,
            LiveHosts liveHosts,
            Telemetry telemetry) {
        return new PoolServers(pool, zone, placementPolicy, clock, random, liveHosts, telemetry);
    }

    /** Applies the pool's hosts of the configuration in force. */
    public void update(List<Host> hosts) {
        if (hosts == configuredHosts) {
            return;
        }
        boolean initialUpdate = serversByName.isEmpty();
        configuredHosts = hosts;
        List<CandidateServer> next = new ArrayList<>();
        for (Host host : hosts) {
            CandidateServer candidate =
                    serversByName.computeIfAbsent(host.name(), name -> createCandidate(host, initialUpdate));
            if (host.state() != HostState.ACTIVE) {
                candidate.setHost(host);
                continue;
            }
            if (candidate.host().state() != HostState.ACTIVE) {
                candidate.health().beginSlowStart(clock.monotonicNanos());
            }
            candidate.setHost(host);
            next.add(candidate);
        }
        serversByName.values().removeIf(candidate -> !hosts.contains(candidate.host()) && candidate.inFlight() == 0);
        active = next;
    }

    private CandidateServer createCandidate(Host host, boolean initialUpdate) {
        CandidateServer candidate = new CandidateServer(host, random);
        if (!initialUpdate) {
            candidate.health().beginSlowStart(clock.monotonicNanos());
        }
        return candidate;
    }

    /** Returns the servers that may get new work by configuration and live-host list, including ejected ones. */
    public List<Host> eligibleHosts() {
        return eligible().stream().map(CandidateServer::host).toList();
    }

    /** Returns whether a server may still get new work. */
    public boolean isEligible(Host server) {
        return eligible().stream().anyMatch(candidate -> candidate.host().name().equals(server.name()));
    }

    private List<CandidateServer> eligible() {
        List<CandidateServer> listed = new ArrayList<>(active.size());
        List<CandidateServer> gone = new ArrayList<>();
        for (CandidateServer candidate : active) {
            switch (liveHosts.presence(candidate.host().name())) {
                case LIVE, UNKNOWN -> listed.add(candidate);
                case GONE -> gone.add(candidate);
                case LEAVING -> {
                    // gets no new work
                }
            }
        }
        return listed.isEmpty() ? gone : listed;
    }

    /**
     * Selects a server with a free slot; empty when no server may be used now.
     *
     * @param avoid names of the servers on which this request has failed
     * @param caps this host's slots under {@link PlacementPolicy.DividedSlots}
     */
    public Optional<Host> choose(Set<String> avoid, SlotCaps caps) {
        long now = clock.monotonicNanos();
        List<CandidateServer> eligible = eligible();
        eligible.forEach(candidate -> ejectIfUnresponsive(candidate, now));
        List<CandidateServer> free = eligible.stream()
                .filter(candidate -> candidate.hasFreeSlot(now)
                        && !avoid.contains(candidate.host().name()))
                .toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        Optional<CandidateServer> probe = findProbeDue(free, now);
        return probe.or(() -> chooseByPolicy(free, caps, eligible, now)).map(CandidateServer::host);
    }

    private static Optional<CandidateServer> findProbeDue(List<CandidateServer> free, long now) {
        return free.stream()
                .filter(candidate -> candidate.health().state(now) == ServerHealth.State.PROBING)
                .findFirst();
    }

    private Optional<CandidateServer> chooseByPolicy(
            List<CandidateServer> free, SlotCaps caps, List<CandidateServer> eligible, long now) {
        return switch (placementPolicy) {
            case PlacementPolicy.UniformRandom uniform -> Optional.of(free.get(random.nextInt(free.size())));
            case PlacementPolicy.RoundRobin roundRobin -> Optional.of(free.get(nextRoundRobin++ % free.size()));
            case PlacementPolicy.LeastInFlight least -> leastLoaded(free);
            case PlacementPolicy.LocalProbing probing -> chooseByProbing(free, probing.sampleSize());
            case PlacementPolicy.DividedSlots divided ->
                chooseByDivision(free, divided.sampleSize(), caps, eligible, now);
        };
    }

    private Optional<CandidateServer> chooseByDivision(
            List<CandidateServer> free, int sampleSize, SlotCaps caps, List<CandidateServer> eligible, long now) {
        List<CandidateServer> own = free.stream()
                .filter(candidate ->
                        candidate.inFlight() < caps.at(candidate.host().name()))
                .toList();
        Optional<CandidateServer> chosen = preferZone(own, this::leastLoaded);
        otherSlotsPauseServiceTimes =
                caps.underservedTeamWaiting() ? UNDERSERVED_PAUSE_SERVICE_TIMES : DEFAULT_PAUSE_SERVICE_TIMES;
        boolean replacesUnusableSlots = unusableCapSlots(eligible, caps, now) > slotsUsedBeyondCaps(eligible, caps);
        if (chosen.isPresent()
                || !(replacesUnusableSlots || caps.spareCapacity() || now >= otherSlotsPauseUntilNanos)) {
            return chosen;
        }
        return chooseByProbing(free, sampleSize);
    }

    private static int unusableCapSlots(List<CandidateServer> eligible, SlotCaps caps, long now) {
        return eligible.stream()
                .filter(candidate -> candidate.health().usableSlotsRatio(now) == 0)
                .mapToInt(candidate -> caps.at(candidate.host().name()))
                .sum();
    }

    private static int slotsUsedBeyondCaps(List<CandidateServer> eligible, SlotCaps caps) {
        return eligible.stream()
                .mapToInt(candidate -> Math.max(
                        0, candidate.inFlight() - caps.at(candidate.host().name())))
                .sum();
    }

    private Optional<CandidateServer> chooseByProbing(List<CandidateServer> free, int sampleSize) {
        return preferZone(free, candidates -> leastLoaded(sample(candidates, sampleSize)));
    }

    private Optional<CandidateServer> preferZone(
            List<CandidateServer> candidates,
            java.util.function.Function<List<CandidateServer>, Optional<CandidateServer>> choice) {
        List<CandidateServer> local = candidates.stream().filter(inZone()).toList();
        return choice.apply(local.isEmpty() ? candidates : local);
    }

    private Predicate<CandidateServer> inZone() {
        return candidate -> candidate.host().zone().equals(zone);
    }

    private List<CandidateServer> sample(List<CandidateServer> candidates, int count) {
        if (candidates.size() <= count) {
            return candidates;
        }
        List<CandidateServer> rest = new ArrayList<>(candidates);
        List<CandidateServer> sample = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            sample.add(rest.remove(random.nextInt(rest.size())));
        }
        return sample;
    }

    private Optional<CandidateServer> leastLoaded(List<CandidateServer> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        long now = clock.monotonicNanos();
        int offset = random.nextInt(candidates.size());
        List<CandidateServer> rotated = new ArrayList<>(candidates.subList(offset, candidates.size()));
        rotated.addAll(candidates.subList(0, offset));
        return rotated.stream().min(Comparator.comparingDouble(candidate -> candidate.load(meanServiceNanos, now)));
    }

    /** Records that an attempt has been assigned to a server. */
    public void recordStart(Host server, Object token) {
        CandidateServer candidate = serversByName.get(server.name());
        if (candidate != null) {
            candidate.recordStart(token, clock.monotonicNanos());
        }
    }

    /** Records the end of an attempt; has no effect when that attempt has already ended. */
    public void recordEnd(Host server, Object token, Result result) {
        CandidateServer candidate = serversByName.get(server.name());
        if (candidate == null) {
            return;
        }
        long now = clock.monotonicNanos();
        candidate.removeInFlight(token).ifPresent(started -> recordResult(candidate, result, now, started));
    }

    private void recordResult(CandidateServer candidate, Result result, long now, long startedNanos) {
        switch (result) {
            case SUCCESS -> recordSuccess(candidate, now, now - startedNanos);
            case FAILURE -> recordFailure(candidate, now);
            case BUSY -> recordBusy(candidate, now);
            case UNANSWERED -> candidate.recordUnanswered(now, startedNanos);
            case NEUTRAL -> {
                // shows nothing about the server
            }
        }
    }

    private void recordBusy(CandidateServer candidate, long now) {
        candidate.recordBusy(now, meanServiceNanos);
        double pause = meanServiceNanos * otherSlotsPauseServiceTimes * (0.5 + random.nextDouble());
        otherSlotsPauseUntilNanos = now + (long) pause;
    }

    private void recordSuccess(CandidateServer candidate, long now, long serviceNanos) {
        candidate.recordAnswer(now, serviceNanos);
        meanServiceNanos = meanServiceNanos == 0
                ? serviceNanos
                : meanServiceNanos + SERVICE_TIME_SMOOTHING * (serviceNanos - meanServiceNanos);
        if (candidate.health().recordSuccess(now)) {
            telemetry.event(
                    EventCode.SERVER_RETURNED,
                    "pool=" + pool + " server=" + candidate.host().name());
        }
    }

    private void recordFailure(CandidateServer candidate, long now) {
        if (candidate.health().recordFailure(now)) {
            eject(candidate, now, "failures");
        }
    }

    private void ejectIfUnresponsive(CandidateServer candidate, long now) {
        if (meanServiceNanos == 0 || candidate.health().usableSlotsRatio(now) == 0) {
            return;
        }
        boolean unresponsive = candidate.unansweredNanos(now) > MAX_UNANSWERED_SERVICE_TIMES * meanServiceNanos;
        if (unresponsive && candidate.oldestInFlightNanos(now) > MIN_UNANSWERED_AGE.toNanos()) {
            eject(candidate, now, "silence");
        }
    }

    private void eject(CandidateServer candidate, long now, String reason) {
        long ejected = active.stream()
                .filter(other -> other != candidate && other.health().usableSlotsRatio(now) == 0)
                .count();
        if (2 * (ejected + 1) > active.size()) {
            return;
        }
        candidate.health().eject(now);
        candidate.resetUnanswered();
        telemetry.count(CounterCode.SERVERS_EJECTED, reason);
        telemetry.event(
                EventCode.SERVER_EJECTED,
                "pool=" + pool + " server=" + candidate.host().name() + " reason=" + reason);
    }

    /** Returns the time until the next backoff of a server ends; empty when no server is backing off. */
    public Optional<Duration> timeToNextBackoffEnd() {
        long now = clock.monotonicNanos();
        return active.stream()
                .map(CandidateServer::backoffUntilNanos)
                .filter(until -> until > now)
                .min(Comparator.naturalOrder())
                .map(until -> Duration.ofNanos(until - now));
    }

    /** States what the end of an attempt shows about its server. */
    public enum Result {
        SUCCESS,
        FAILURE,
        BUSY,
        /** The server gave no answer in the time that the attempt had. */
        UNANSWERED,
        NEUTRAL
    }
}

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
 * The backend servers of one pool as this entry host sees them, and the choice among them.
 *
 * <p>A server that fails everything is ejected and let back by single probes; at most half of the pool's servers are
 * ejected at a time.
 */
public final class PoolServers {
    private static final Duration MIN_SILENCE = Duration.ofMillis(500);
    private static final double SILENCE_SERVICE_TIMES = 12;
    private static final double MEAN_WEIGHT = 0.05;
    private static final double BEYOND_PAUSE_PART = 0.1;
    private static final double LESS_ENTITLED_PAUSE_PART = 0.3;

    private final String pool;
    private final String zone;
    private final PlacementPolicy placement;
    private final Clock clock;
    private final UniformRandomProvider random;
    private final LiveHosts liveHosts;
    private final Telemetry telemetry;
    private final Map<String, CandidateServer> states = new HashMap<>();
    private List<Host> configured = List.of();
    private List<CandidateServer> active = List.of();
    private double meanServiceNanos;
    private int nextInTurn;
    private long beyondFromNanos;
    private double beyondPausePart = BEYOND_PAUSE_PART;

    private PoolServers(
            String pool,
            String zone,
            PlacementPolicy placement,
            Clock clock,
            UniformRandomProvider random,
            LiveHosts liveHosts,
            Telemetry telemetry) {
        this.pool = pool;
        this.zone = zone;
        this.placement = placement;
        this.clock = clock;
        this.random = random;
        this.liveHosts = liveHosts;
        this.telemetry = telemetry;
    }

    /** Creates the view of a pool from an entry host in an availability zone. */
    public static PoolServers create(
            String pool,
            String zone,
            PlacementPolicy placement,
            Clock clock,
            UniformRandomProvider random,
            LiveHosts liveHosts,
            Telemetry telemetry) {
        return new PoolServers(pool, zone, placement, clock, random, liveHosts, telemetry);
    }

    /** Takes in the pool's hosts of the configuration in force. */
    public void update(List<Host> hosts) {
        if (hosts == configured) {
            return;
        }
        boolean first = states.isEmpty();
        configured = hosts;
        List<CandidateServer> next = new ArrayList<>();
        for (Host host : hosts) {
            CandidateServer state = states.computeIfAbsent(host.name(), name -> join(host, first));
            if (host.state() != HostState.ACTIVE) {
                state.host(host);
                continue;
            }
            if (state.host().state() != HostState.ACTIVE) {
                state.health().join(clock.monotonicNanos());
            }
            state.host(host);
            next.add(state);
        }
        states.values().removeIf(state -> !hosts.contains(state.host()) && state.inFlight() == 0);
        active = next;
    }

    private CandidateServer join(Host host, boolean first) {
        CandidateServer state = new CandidateServer(host, random);
        if (!first) {
            state.health().join(clock.monotonicNanos());
        }
        return state;
    }

    /** The servers that may get new work by configuration and live-host list, ejected ones included. */
    public List<Host> serving() {
        return present().stream().map(CandidateServer::host).toList();
    }

    /** Whether a server may still get new work. */
    public boolean serves(Host server) {
        return present().stream().anyMatch(state -> state.host().name().equals(server.name()));
    }

    private List<CandidateServer> present() {
        List<CandidateServer> listed = new ArrayList<>(active.size());
        List<CandidateServer> gone = new ArrayList<>();
        for (CandidateServer state : active) {
            switch (liveHosts.presence(state.host().name())) {
                case LIVE, UNKNOWN -> listed.add(state);
                case GONE -> gone.add(state);
                case LEAVING -> {
                    // gets no new work
                }
            }
        }
        return listed.isEmpty() ? gone : listed;
    }

    /**
     * Chooses a server with a free slot.
     *
     * @param avoid servers at which this request has failed, by name
     * @param caps this host's slots under {@link Placement.DividedSlots}
     */
    public Optional<Host> choose(Set<String> avoid, SlotCaps caps) {
        long now = clock.monotonicNanos();
        List<CandidateServer> present = present();
        present.forEach(state -> ejectWhenSilent(state, now));
        List<CandidateServer> free = present.stream()
                .filter(state -> state.free(now) && !avoid.contains(state.host().name()))
                .toList();
        if (free.isEmpty()) {
            return Optional.empty();
        }
        Optional<CandidateServer> probe = probeDue(free, now);
        return probe.or(() -> pick(free, caps, present, now)).map(CandidateServer::host);
    }

    private static Optional<CandidateServer> probeDue(List<CandidateServer> free, long now) {
        return free.stream()
                .filter(state -> state.health().state(now) == ServerHealth.State.PROBING)
                .findFirst();
    }

    private Optional<CandidateServer> pick(
            List<CandidateServer> free, SlotCaps caps, List<CandidateServer> present, long now) {
        return switch (placement) {
            case PlacementPolicy.UniformRandom any -> Optional.of(free.get(random.nextInt(free.size())));
            case PlacementPolicy.RoundRobin inTurn -> Optional.of(free.get(nextInTurn++ % free.size()));
            case PlacementPolicy.LeastInFlight least -> leastLoaded(free);
            case PlacementPolicy.LocalProbing probing -> probe(free, probing.ways());
            case PlacementPolicy.DividedSlots divided -> divided(free, divided.ways(), caps, present, now);
        };
    }

    private Optional<CandidateServer> divided(
            List<CandidateServer> free, int ways, SlotCaps caps, List<CandidateServer> present, long now) {
        List<CandidateServer> own = free.stream()
                .filter(state -> state.inFlight() < caps.at(state.host().name()))
                .toList();
        Optional<CandidateServer> chosen = zoneFirst(own, this::leastLoaded);
        beyondPausePart = caps.entitled() ? BEYOND_PAUSE_PART : LESS_ENTITLED_PAUSE_PART;
        boolean lost = lostSlots(present, caps, now) > usedBeyond(present, caps);
        if (chosen.isPresent() || !(lost || caps.roomBeyond() || now >= beyondFromNanos)) {
            return chosen;
        }
        return probe(free, ways);
    }

    private static int lostSlots(List<CandidateServer> present, SlotCaps caps, long now) {
        return present.stream()
                .filter(state -> state.health().slotsPart(now) == 0)
                .mapToInt(state -> caps.at(state.host().name()))
                .sum();
    }

    private static int usedBeyond(List<CandidateServer> present, SlotCaps caps) {
        return present.stream()
                .mapToInt(state ->
                        Math.max(0, state.inFlight() - caps.at(state.host().name())))
                .sum();
    }

    private Optional<CandidateServer> probe(List<CandidateServer> free, int ways) {
        return zoneFirst(free, candidates -> leastLoaded(sample(candidates, ways)));
    }

    private Optional<CandidateServer> zoneFirst(
            List<CandidateServer> candidates,
            java.util.function.Function<List<CandidateServer>, Optional<CandidateServer>> choice) {
        List<CandidateServer> near = candidates.stream().filter(inZone()).toList();
        return choice.apply(near.isEmpty() ? candidates : near);
    }

    private Predicate<CandidateServer> inZone() {
        return state -> state.host().zone().equals(zone);
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
        return rotated.stream().min(Comparator.comparingDouble(state -> state.load(meanServiceNanos, now)));
    }

    /** Notes that an attempt has been given to a server. */
    public void started(Host server, Object token) {
        CandidateServer state = states.get(server.name());
        if (state != null) {
            state.started(token, clock.monotonicNanos());
        }
    }

    /** Notes the end of an attempt; a second end of the same attempt is without effect. */
    public void ended(Host server, Object token, Result result) {
        CandidateServer state = states.get(server.name());
        if (state == null) {
            return;
        }
        long now = clock.monotonicNanos();
        state.ended(token).ifPresent(started -> note(state, result, now, started));
    }

    private void note(CandidateServer state, Result result, long now, long startedNanos) {
        switch (result) {
            case SUCCESS -> succeeded(state, now, now - startedNanos);
            case FAILURE -> failed(state, now);
            case BUSY -> busy(state, now);
            case UNANSWERED -> state.unanswered(now, startedNanos);
            case NEUTRAL -> {
                // says nothing about the server
            }
        }
    }

    private void busy(CandidateServer state, long now) {
        state.busy(now, meanServiceNanos);
        double pause = meanServiceNanos * beyondPausePart * (0.5 + random.nextDouble());
        beyondFromNanos = now + (long) pause;
    }

    private void succeeded(CandidateServer state, long now, long serviceNanos) {
        state.answered(now, serviceNanos);
        meanServiceNanos = meanServiceNanos == 0
                ? serviceNanos
                : meanServiceNanos + MEAN_WEIGHT * (serviceNanos - meanServiceNanos);
        if (state.health().succeeded(now)) {
            telemetry.event(
                    EventCode.SERVER_RETURNED,
                    "pool=" + pool + " server=" + state.host().name());
        }
    }

    private void failed(CandidateServer state, long now) {
        if (state.health().failed(now)) {
            eject(state, now, "failures");
        }
    }

    private void ejectWhenSilent(CandidateServer state, long now) {
        if (meanServiceNanos == 0 || state.health().slotsPart(now) == 0) {
            return;
        }
        boolean silent = state.silentNanos(now) > SILENCE_SERVICE_TIMES * meanServiceNanos;
        if (silent && state.oldestNanos(now) > MIN_SILENCE.toNanos()) {
            eject(state, now, "silence");
        }
    }

    private void eject(CandidateServer state, long now, String reason) {
        long ejected = active.stream()
                .filter(other -> other != state && other.health().slotsPart(now) == 0)
                .count();
        if (2 * (ejected + 1) > active.size()) {
            return;
        }
        state.health().eject(now);
        state.forgetSilence();
        telemetry.count(CounterCode.SERVERS_EJECTED, reason);
        telemetry.event(
                EventCode.SERVER_EJECTED,
                "pool=" + pool + " server=" + state.host().name() + " reason=" + reason);
    }

    /** Time until a server that is held off or ejected may be tried again; empty when none is. */
    public Optional<Duration> nextChange() {
        long now = clock.monotonicNanos();
        return active.stream()
                .map(CandidateServer::heldOffUntilNanos)
                .filter(until -> until > now)
                .min(Comparator.naturalOrder())
                .map(until -> Duration.ofNanos(until - now));
    }

    /** What the end of an attempt says about its server. */
    public enum Result {
        SUCCESS,
        FAILURE,
        BUSY,
        /** No sign of the server in the time that the attempt had. */
        UNANSWERED,
        NEUTRAL
    }
}

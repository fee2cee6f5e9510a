package org.basilswitch.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.admission.FleetUsage;
import org.basilswitch.admission.KeyAuthenticator;
import org.basilswitch.admission.SharePolicy;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.configuration.Team;
import org.basilswitch.configuration.TeamKey;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.limit.TeamLimits;
import org.basilswitch.membership.Member;
import org.basilswitch.membership.ServingLease;
import org.basilswitch.peer.MemberId;
import org.basilswitch.placement.LiveHosts;
import org.basilswitch.placement.PlacementPolicy;
import org.basilswitch.time.SimulatedTime;
import org.basilswitch.time.SteppedClock;
import org.basilswitch.time.SuspendAwareClock;

/** Runs one broker on simulated time with configurable fakes of its dependencies. */
final class DispatchTestSite implements TeamLimits, RequestClaims, ServingLease, Telemetry {
    static final String NON_IDEMPOTENT_QUEUE = "once";
    static final String IDEMPOTENT_QUEUE = "repeatable";
    static final String OPEN_QUEUE = "open-queue";
    static final String POOL = "pool";

    final SimulatedTime time = SimulatedTime.create();
    final SteppedClock clock = new SteppedClock(time, Duration.ZERO);
    final Member self = new Member(new MemberId("e1"), "e1", "127.0.0.1:1", "z1");
    final Map<String, ConfigurationRecord> records = new HashMap<>();
    final Map<String, Integer> counts = new HashMap<>();
    final Map<String, Integer> unitsInUse = new HashMap<>();
    final Map<String, Integer> allottedUnits = new HashMap<>();
    final Map<String, LiveHosts.Presence> presences = new HashMap<>();
    final Map<String, Integer> claims = new HashMap<>();
    final List<String> preemptedPools = new ArrayList<>();
    final List<Consumer<String>> limitListeners = new ArrayList<>();
    final FleetUsage usage = FleetUsage.create(time);
    SiteConfiguration configuration = SiteConfiguration.empty();
    ClaimResult claimResult = new Granted();
    Duration claimDelay = Duration.ofMillis(5);
    boolean servingAllowed = true;
    long revision;
    int maxUnitsOfTeamA;
    Broker broker;

    private DispatchTestSite() {}

    /**
     * Creates a site with a pool of servers with some slots each, three queues and the teams {@code a} and {@code b}.
     */
    static DispatchTestSite create(int servers, int slots) {
        return create(servers, slots, PlacementPolicy.defaultPolicy(), 1);
    }

    static DispatchTestSite create(int servers, int slots, PlacementPolicy placementPolicy, long seed) {
        DispatchTestSite site = new DispatchTestSite();
        site.put(new Pool(POOL, 0, false));
        site.put(new Queue(NON_IDEMPOTENT_QUEUE, POOL, false, false, 60_000, 10_000, 1 << 20, 100));
        site.put(new Queue(IDEMPOTENT_QUEUE, POOL, false, true, 60_000, 10_000, 1 << 20, 100));
        site.put(new Queue(OPEN_QUEUE, POOL, true, true, 60_000, 10_000, 1 << 20, 100));
        for (String team : List.of("a", "b")) {
            site.put(new Team(team, 1, 1_000));
            String hash = KeyAuthenticator.hash(Optional.of("secret-" + team)).orElseThrow();
            site.put(new TeamKey("key-" + team, team, hash));
        }
        for (int i = 0; i < servers; i++) {
            site.put(host("s" + i, slots, HostState.ACTIVE));
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        site.broker = Broker.create(new BrokerContext(
                site.self,
                () -> List.of(site.self),
                () -> site.configuration,
                site,
                site,
                site,
                site.usage,
                host -> site.presences.getOrDefault(host, LiveHosts.Presence.UNKNOWN),
                (pool, requests) -> site.preemptedPools.add(pool),
                new SharePolicy.Weighted(),
                placementPolicy,
                site.clock,
                SuspendAwareClock.of(site.clock),
                site.time,
                random,
                site));
        return site;
    }

    static Host host(String name, int slots, HostState state) {
        return new Host(name, "127.0.0.1:9000", "z1", "r1", POOL, state, slots, 64, 8, 1L << 30, 0);
    }

    void put(ConfigurationRecord record) {
        records.put(ConfigurationRecord.kind(record.getClass()) + record.name(), record);
        configuration = SiteConfiguration.of(++revision, records.values());
    }

    void remove(ConfigurationRecord record) {
        records.remove(ConfigurationRecord.kind(record.getClass()) + record.name());
        configuration = SiteConfiguration.of(++revision, records.values());
    }

    TestCaller submit(String queue, String team) {
        return submit(spec(queue, Optional.of("secret-" + team)));
    }

    TestCaller submit(RequestSpec spec) {
        TestCaller caller = new TestCaller();
        caller.handle = broker.submit(spec, caller);
        return caller;
    }

    static RequestSpec spec(String queue, Optional<String> key) {
        return new RequestSpec(queue, key, Optional.empty(), Optional.empty(), RequestSpec.Priority.NORMAL);
    }

    static RequestSpec spec(String queue, String team, RequestSpec.Priority priority, Duration deadline) {
        return new RequestSpec(queue, Optional.of("secret-" + team), Optional.empty(), Optional.of(deadline), priority);
    }

    static RequestSpec withId(String queue, String team, String id) {
        return new RequestSpec(
                queue, Optional.of("secret-" + team), Optional.of(id), Optional.empty(), RequestSpec.Priority.NORMAL);
    }

    void run(long millis) {
        time.runFor(Duration.ofMillis(millis));
    }

    int violations() {
        return count(CounterCode.INVARIANT_VIOLATIONS);
    }

    int count(CounterCode counter) {
        return counts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(counter.name() + ":"))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    int unitsHeld() {
        return unitsInUse.values().stream().mapToInt(Integer::intValue).sum();
    }

    @Override
    public boolean tryAcquire(String team) {
        if (unitsInUse.getOrDefault(team, 0) >= allottedUnits(team)) {
            return false;
        }
        unitsInUse.merge(team, 1, Integer::sum);
        maxUnitsOfTeamA = Math.max(maxUnitsOfTeamA, unitsInUse.getOrDefault("a", 0));
        return true;
    }

    @Override
    public void release(String team) {
        unitsInUse.merge(team, -1, Integer::sum);
        limitListeners.forEach(listener -> listener.accept(team));
    }

    @Override
    public void onAvailable(Consumer<String> listener) {
        limitListeners.add(listener);
    }

    @Override
    public int allottedUnits(String team) {
        return allottedUnits.getOrDefault(team, 1_000);
    }

    @Override
    public CompletionStage<ClaimResult> claim(
            String queue, String idempotencyKey, Duration claimTime, Duration timeout) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        time.schedule(claimDelay, () -> {
            boolean duplicate = claimResult instanceof Granted && claims.merge(idempotencyKey, 1, Integer::sum) > 1;
            result.complete(duplicate ? new Duplicate() : claimResult);
        });
        return result;
    }

    @Override
    public void release(String queue, String idempotencyKey) {
        claims.remove(idempotencyKey);
    }

    @Override
    public boolean mayStartWork() {
        return servingAllowed;
    }

    @Override
    public Duration remaining() {
        return servingAllowed ? Duration.ofSeconds(5) : Duration.ZERO;
    }

    @Override
    public void event(EventCode code, String detail) {}

    @Override
    public void count(CounterCode counter, String tag) {
        counts.merge(counter.name() + ":" + tag, 1, Integer::sum);
    }

    /** Records the attempts and refusals that it receives. */
    static final class TestCaller implements RequestBroker.RequestObserver {
        final List<Attempt> attempts = new ArrayList<>();
        final List<Refusal> refusals = new ArrayList<>();
        RequestBroker.RequestHandle handle;
        Consumer<Attempt> attemptHandler = attempt -> {};

        @Override
        public void onAttempt(Attempt attempt) {
            attempts.add(attempt);
            attemptHandler.accept(attempt);
        }

        @Override
        public void onRefused(Refusal refusal) {
            refusals.add(refusal);
        }

        Attempt lastAttempt() {
            return attempts.get(attempts.size() - 1);
        }

        Refusal refusal() {
            if (refusals.size() != 1) {
                throw new AssertionError("expected one refusal: " + refusals);
            }
            return refusals.get(0);
        }
    }
}

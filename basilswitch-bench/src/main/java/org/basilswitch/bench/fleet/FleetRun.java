package org.basilswitch.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.fleet.FleetOptions;
import org.basilswitch.fleet.PoolDemand;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;

/** Simulates a fleet with its controllers, load and faults on virtual time. */
public final class FleetRun {
    /** Name of the spare pool. */
    public static final String SPARE_POOL = "spare";

    private static final Duration TASK_START_INTERVAL = Duration.ofMillis(100);
    private static final double TASK_START_PROBABILITY = 0.6;

    private final SimulatedFleetSpec spec;
    private final FleetOptions options;
    private final SimulatedTime time = SimulatedTime.create();
    private final UniformRandomProvider random;
    private final StoreKeys keys = new StoreKeys("bench");
    private final MemoryStore store = MemoryStore.create(time, time);
    private final SimulatedHosts workers;
    private final FleetInvariants invariants = FleetInvariants.create(keys.configuration());
    private final RevisionTimes revisions = new RevisionTimes(time);
    private final List<String> pools = new ArrayList<>();
    private final List<FleetMember> members = new ArrayList<>();
    private final PoolDemand demand;
    private final Map<String, Host> laggingView = new HashMap<>();
    private int nextMember;
    private long storeCallsOfKilledMembers;

    private FleetRun(SimulatedFleetSpec spec, FleetOptions options, PoolDemand demand, long seed) {
        this.spec = spec;
        this.options = options;
        this.demand = demand;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.workers = new SimulatedHosts(time, random, spec);
    }

    /** Creates a fleet whose hosts are all active, and starts its members, load and faults. */
    public static FleetRun create(SimulatedFleetSpec spec, FleetOptions options, PoolDemand demand, long seed) {
        FleetRun run = new FleetRun(spec, options, demand, seed);
        run.store.watch(run.keys.configuration(), 1, run.invariants);
        run.store.watch(run.keys.configuration(), 1, run.revisions);
        run.writeConfiguration();
        run.workers.chooseReturnFailures();
        for (int i = 0; i < spec.members(); i++) {
            run.addMember(i);
        }
        if (!spec.taskTime().isZero()) {
            run.time.schedule(TASK_START_INTERVAL, run::startTasksPeriodically);
        }
        if (!spec.operatorInterval().isZero()) {
            RacingOperator.start(run.time, run.store, run.keys, run.random, run.spec);
        }
        run.scheduleFault(spec.killInterval(), run::killMember);
        run.scheduleFault(spec.pauseInterval(), run::pauseMember);
        return run;
    }

    private void writeConfiguration() {
        for (int i = 0; i < spec.pools(); i++) {
            pools.add("pool-" + i);
        }
        pools.add(SPARE_POOL);
        int rack = 0;
        for (String pool : pools) {
            boolean spare = pool.equals(SPARE_POOL);
            int count = spare ? spec.spareHosts() : spec.hostsPerPool();
            put("pools", new Pool(pool, spare ? count / 2 : count - spec.budgetHosts(), spare));
            for (int i = 0; i < count; i++) {
                if (i % spec.hostsPerRack() == 0) {
                    rack++;
                }
                put("hosts", host(pool + "-" + i, "rack-" + rack, "zone-" + rack % spec.zones(), pool));
                workers.add(pool + "-" + i);
            }
        }
    }

    private static Host host(String name, String rack, String zone, String pool) {
        return new Host(name, "127.0.0.1:1", zone, rack, pool, HostState.ACTIVE, 8, 64, 64, 256L << 30, 0);
    }

    private void put(String kind, ConfigurationRecord record) {
        store.commit(Transaction.builder()
                .put(keys.configuration(kind, record.name()), RecordCodec.encode(record))
                .build());
    }

    private void addMember(int index) {
        MemberId id = new MemberId("member-" + nextMember++);
        members.add(new FleetMember(
                index, id, time, store, keys, workers, random, options, pools, demand, spec, revisions));
    }

    /** Starts a wave over all hosts, the spare pool's included. */
    public void startWave(String name, int maxConcurrentHosts) {
        List<String> hosts = configuration().hosts().keySet().stream().sorted().toList();
        put(
                "waves",
                new MaintenanceWave(name, hosts, List.of(), MaintenanceWave.Phase.RUNNING, maxConcurrentHosts, ""));
    }

    /** Returns the current configuration in the store. */
    public SiteConfiguration configuration() {
        List<ConfigurationRecord> records = store.range(keys.configuration()).entries().stream()
                .flatMap(entry -> SiteConfiguration.decode(keys.configuration(), entry).stream())
                .toList();
        return SiteConfiguration.of(store.revision(), records);
    }

    /** Returns a wave's record; the wave must exist. */
    public MaintenanceWave wave(String name) {
        return store.get(keys.configuration("waves", name))
                .flatMap(entry -> RecordCodec.decode(entry.value(), MaintenanceWave.class))
                .orElseThrow();
    }

    /** Writes a wave's phase to the store, as an operator does. */
    public void setPhase(String name, MaintenanceWave.Phase phase) {
        put("waves", wave(name).withPhase(phase, ""));
    }

    /** Powers off all hosts of a rack for the given duration. */
    public void failRack(String rack, Duration outage) {
        configuration().hosts().values().stream()
                .filter(host -> host.rack().equals(rack))
                .forEach(host -> workers.powerOff(host.name(), outage));
    }

    /** Powers off a host for the given duration. */
    public void failHost(String host, Duration outage) {
        workers.powerOff(host, outage);
    }

    /** Returns the current records of all hosts in the store. */
    public List<Host> hosts() {
        return invariants.hosts();
    }

    /** Returns the names of the pools, the spare pool last. */
    public List<String> pools() {
        return List.copyOf(pools);
    }

    /** Advances virtual time. */
    public void runFor(Duration duration) {
        time.runFor(duration);
    }

    /** Returns the virtual time since the start. */
    public Duration elapsed() {
        return Duration.ofNanos(time.monotonicNanos());
    }

    /** Returns the last violated invariant, or empty when there was none. */
    public Optional<String> violation() {
        return invariants.violation();
    }

    /** Returns the number of answers lost because a host was rebooted while it ran a caller's request. */
    public int lostAnswers() {
        return workers.lostAnswers();
    }

    /** Returns the number of reboots carried out. */
    public int reboots() {
        return workers.reboots();
    }

    /** Returns the largest number of reboots of one host. */
    public int mostRebootsOfOneHost() {
        return workers.mostRebootsOfOneHost();
    }

    /** Returns the number of moves between pools. */
    public int moves() {
        return invariants.moves();
    }

    /** Returns the number of store calls of all members so far, killed ones included. */
    public long storeCalls() {
        return storeCallsOfKilledMembers
                + members.stream().mapToLong(FleetMember::storeCalls).sum();
    }

    private void startTasksPeriodically() {
        List<Host> now = invariants.hosts();
        time.schedule(spec.inForceDelay().multipliedBy(9).dividedBy(10), () -> {
            laggingView.clear();
            now.forEach(host -> laggingView.put(host.name(), host));
        });
        for (Host host : laggingView.values()) {
            if (host.state() == HostState.ACTIVE && random.nextDouble() < TASK_START_PROBABILITY) {
                double factor = 0.5 + random.nextDouble();
                long nanos = (long) (spec.taskTime().toNanos() * factor);
                workers.startTask(host.name(), Duration.ofNanos(nanos));
            }
        }
        time.schedule(TASK_START_INTERVAL, this::startTasksPeriodically);
    }

    private void scheduleFault(Duration mean, Runnable fault) {
        if (mean.isZero()) {
            return;
        }
        double wait = -Math.log(1 - random.nextDouble()) * mean.toNanos();
        time.schedule(Duration.ofNanos((long) wait), () -> {
            fault.run();
            scheduleFault(mean, fault);
        });
    }

    private void killMember() {
        int index = chooseMemberToFault();
        FleetMember killed = members.get(index);
        killed.time().kill();
        storeCallsOfKilledMembers += killed.storeCalls();
        members.remove(index);
        time.schedule(Duration.ofSeconds(2), () -> addMember(index));
    }

    private void pauseMember() {
        if (members.isEmpty()) {
            return;
        }
        FleetMember paused = members.get(chooseMemberToFault());
        paused.time().pause();
        long nanos = (long) (options.leaderLease().toNanos() * (0.5 + 3 * random.nextDouble()));
        time.schedule(Duration.ofNanos(nanos), paused.time()::resume);
    }

    /**
     * Chooses a random member, preferably a leader of a pool, because the others write nothing that a fault could
     * disturb.
     */
    private int chooseMemberToFault() {
        int start = random.nextInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            int index = (start + i) % members.size();
            if (members.get(index).leadsAnyPool()) {
                return index;
            }
        }
        return start;
    }
}

package org.basilswitch.bench.faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.configuration.Team;
import org.basilswitch.entry.EntryHost;
import org.basilswitch.entry.EntryHostOptions;
import org.basilswitch.event.Telemetry;
import org.basilswitch.membership.Member;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.SimulatedTime;

/** Simulated site of a fault run: entry hosts, store, links, workers, callers and operators on virtual time. */
final class FaultSite {
    static final List<String> TEAMS = List.of("depot", "kitchens", "inspectors", "drivers");
    static final Duration REQUEST_DEADLINE = Duration.ofSeconds(3);

    private static final String SITE = "faults";
    private static final int WORKERS = 6;
    private static final int ZONES = 3;
    private static final Duration PROMISE_TIME = Duration.ofSeconds(1);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);
    private static final double DRIFT_RATIO = 0.01;
    private static final Duration CLAIM_TIME = Duration.ofMinutes(10);
    private static final int TRACE_LINES = 400;

    private final SimulatedTime time = SimulatedTime.create();
    private final StoreKeys keys = new StoreKeys(SITE);
    private final MemoryStore store = MemoryStore.create(time, time);
    private final UniformRandomProvider random;
    private final Telemetry telemetry;
    private final EntryProcess[] slots;
    private final MemoryStoreClient[] clients;
    private final int[] storeCuts;
    private final SimulatedLinks links;
    private final SimulatedWorkers workers;
    private final SimulatedOperators operators;
    private final SimulatedCallers callers;
    private final ServiceGuarantees guarantees;
    private final Deque<String> trace = new ArrayDeque<>();
    private int storeDown;
    private int storeSlow;
    private int storeLosingAnswers;
    private boolean callersStopped;

    FaultSite(long seed, Telemetry telemetry) {
        this.telemetry = telemetry;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int hosts = 3 + random.nextInt(7);
        slots = new EntryProcess[hosts];
        clients = new MemoryStoreClient[hosts];
        storeCuts = new int[hosts];
        links = new SimulatedLinks(this, random, hosts);
        workers = new SimulatedWorkers(this, WORKERS);
        guarantees = new ServiceGuarantees(this);
        operators = new SimulatedOperators(this);
        callers = new SimulatedCallers(this, random);
        configure();
        for (int slot = 0; slot < hosts; slot++) {
            startProcess(slot);
        }
        callers.start();
        checkPeriodically();
    }

    private void configure() {
        operators.put("pools", "billing", new Pool("billing", 1, false));
        for (boolean idempotent : new boolean[] {true, false}) {
            String name = idempotent ? "quote" : "invoice";
            operators.put(
                    "queues",
                    name,
                    new Queue(
                            name,
                            "billing",
                            false,
                            idempotent,
                            CLAIM_TIME.toMillis(),
                            REQUEST_DEADLINE.toMillis(),
                            1 << 20,
                            100));
        }
        for (String team : TEAMS) {
            operators.put("teams", team, new Team(team, 1, 4 + random.nextInt(8)));
            operators.put("keys", operators.keyName(team), operators.key(team));
        }
        for (SimulatedWorkers.Worker worker : workers.all()) {
            Host host = new Host(
                    worker.name(), worker.name(), "z0", "r0", "billing", HostState.ACTIVE, 6, 64, 64, 1L << 38, 0);
            operators.put("hosts", worker.name(), host);
        }
    }

    private void checkPeriodically() {
        guarantees.checkSite();
        if (random.nextInt(8) == 0) {
            String team = TEAMS.get(random.nextInt(TEAMS.size()));
            operators.changeLimit(team, operators.limit(team));
        }
        time.schedule(Duration.ofMillis(100), this::checkPeriodically);
    }

    /** Starts a new incarnation of the process at a slot's address; does nothing while one exists there. */
    void startProcess(int slot) {
        if (slots[slot] != null) {
            return;
        }
        double rate = 1 + (random.nextDouble() - 0.5) * DRIFT_RATIO;
        ProcessTime processTime = new ProcessTime(time, rate, Duration.ofMillis(random.nextInt(500)));
        MemberId id = new MemberId(Integer.toHexString(random.nextInt()));
        EntryProcess process = new EntryProcess(this, slot, id, processTime);
        slots[slot] = process;
        links.register(process);
        MemoryStoreClient client = MemoryStoreClient.create(store, time, random);
        clients[slot] = client;
        applyStoreFaults(slot);
        Member self = new Member(id, operators.nextMemberName(), "10.0.0." + slot + ":7000", "z" + slot % ZONES);
        EntryHostOptions options = new EntryHostOptions(SITE, self, PROMISE_TIME, HEARTBEAT_INTERVAL, DRIFT_RATIO);
        process.start(EntryHost.create(
                options,
                processTime,
                processTime,
                random,
                new ProcessStore(client, processTime),
                (to, message) -> links.send(process, to, message),
                telemetry));
        trace("started " + process);
    }

    void kill(int slot) {
        if (slots[slot] != null) {
            trace("killed " + slots[slot]);
            slots[slot].time().kill();
            slots[slot].host().close();
            slots[slot] = null;
        }
    }

    void cutStore(int slot, int change) {
        storeCuts[slot] += change;
        applyStoreFaults(slot);
    }

    void changeStoreFaults(int downChange, int slowChange, int losingChange) {
        storeDown += downChange;
        storeSlow += slowChange;
        storeLosingAnswers += losingChange;
        for (int slot = 0; slot < slots.length; slot++) {
            applyStoreFaults(slot);
        }
    }

    private void applyStoreFaults(int slot) {
        if (clients[slot] != null) {
            clients[slot].setReachable(storeDown == 0 && storeCuts[slot] == 0);
            clients[slot].setOneWayDelay(Duration.ofMillis(storeSlow > 0 ? 200 + random.nextInt(900) : 1));
            clients[slot].setLostAnswerRatio(storeLosingAnswers > 0 ? 0.3 : 0);
        }
    }

    /** A team's limit as recorded in its allotment, and the sum of the units allotted to entry hosts. */
    record AllotmentTotals(int limit, int sum) {}

    @SuppressWarnings("unchecked")
    Optional<AllotmentTotals> allotments(String team) {
        return store.get(keys.allotment(team))
                .flatMap(entry -> RecordCodec.decode(entry.value(), Map.class))
                .map(record -> new AllotmentTotals(
                        (Integer) record.get("limitUnits"),
                        ((Map<String, Integer>) record.get("units"))
                                .values().stream().mapToInt(Integer::intValue).sum()));
    }

    Optional<EntryProcess> process(int slot) {
        return Optional.ofNullable(slots[slot]);
    }

    /** Returns the processes that were started and not killed, paused ones included. */
    List<EntryProcess> processes() {
        return Arrays.stream(slots).filter(process -> process != null).toList();
    }

    int hosts() {
        return slots.length;
    }

    Duration delay() {
        return Duration.ofNanos(500_000 + random.nextInt(random.nextInt(10_000_000) + 1));
    }

    Duration serviceTime() {
        int maxMs = random.nextInt(20) == 0 ? 4_000 : 400;
        return Duration.ofMillis(5 + random.nextInt(maxMs));
    }

    void trace(String line) {
        trace.addLast("%9.3f s  %s".formatted(nowMs() / 1000.0, line));
        if (trace.size() > TRACE_LINES) {
            trace.removeFirst();
        }
    }

    List<String> traceLines() {
        return new ArrayList<>(trace);
    }

    long nowMs() {
        return Duration.ofNanos(time.monotonicNanos()).toMillis();
    }

    void stopCallers() {
        callersStopped = true;
    }

    boolean callersStopped() {
        return callersStopped;
    }

    boolean storeDown() {
        return storeDown > 0;
    }

    SimulatedTime time() {
        return time;
    }

    StoreKeys keys() {
        return keys;
    }

    MemoryStore store() {
        return store;
    }

    SimulatedLinks links() {
        return links;
    }

    SimulatedWorkers workers() {
        return workers;
    }

    SimulatedOperators operators() {
        return operators;
    }

    SimulatedCallers callers() {
        return callers;
    }

    ServiceGuarantees guarantees() {
        return guarantees;
    }
}

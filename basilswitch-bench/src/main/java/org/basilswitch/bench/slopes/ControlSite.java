package org.basilswitch.bench.slopes;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationRecord;
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
import org.basilswitch.peer.PeerMessage;
import org.basilswitch.peer.codec.PeerCodec;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;

/**
 * Site of entry hosts on virtual time, whose peer messages are encoded and decoded as on the wire.
 *
 * <p>The processor time includes the in-memory store's work and is therefore an upper bound of an entry host's.
 */
final class ControlSite {
    private static final String SITE = "slopes";
    private static final int ZONES = 4;
    private static final int HOSTS_PER_RACK = 4;
    private static final Duration PEER_DELAY = Duration.ofNanos(1_500_000);
    private static final Duration PROMISE_TIME = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final double DRIFT_RATIO = 0.01;
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(30);
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double BYTES_PER_MEGABYTE = 1 << 20;
    private static final Duration JOIN_TIME = Duration.ofSeconds(90);

    private final ControlSize size;
    private final SimulatedTime time = SimulatedTime.create();
    private final StoreKeys keys = new StoreKeys(SITE);
    private final MemoryStore store = MemoryStore.create(time, time);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    private final Map<MemberId, EntryHost> hosts = new HashMap<>();
    private final List<MemoryStoreClient> clients = new ArrayList<>();
    private final List<Host> workers = new ArrayList<>();
    private long peerBytes;
    private long maxInForceNanos;

    private ControlSite(ControlSize size) {
        this.size = size;
        configure();
    }

    /**
     * Measures a site's control cost over a duration of virtual time, after a warm-up in which all hosts have joined.
     */
    static ControlCost measure(ControlSize size, Duration duration) {
        ControlSite site = new ControlSite(size);
        double heapBefore = liveHeapMegabytes();
        for (int i = 0; i < size.members(); i++) {
            site.startHost(i);
        }
        site.time.runFor(JOIN_TIME);
        site.requireReady();
        double heapAfter = liveHeapMegabytes();
        site.scheduleChange();
        site.time.runFor(duration.dividedBy(2));
        return site.cost(duration, (heapAfter - heapBefore) / size.members());
    }

    private ControlCost cost(Duration duration, double heapMegabytes) {
        long bytesBefore = peerBytes;
        long callsBefore = storeCalls();
        maxInForceNanos = 0;
        long cpuBefore = cpuNanos();
        time.runFor(duration);
        double hostSeconds = duration.toNanos() / 1e9 * size.members();
        return new ControlCost(
                100 * (cpuNanos() - cpuBefore) / 1e9 / hostSeconds,
                heapMegabytes,
                (peerBytes - bytesBefore) / hostSeconds,
                (storeCalls() - callsBefore) / hostSeconds,
                maxInForceNanos / 1e6);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static double liveHeapMegabytes() {
        // The first collection clears weak references; the second frees what they kept reachable.
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / BYTES_PER_MEGABYTE;
    }

    private long storeCalls() {
        return clients.stream().mapToLong(MemoryStoreClient::calls).sum();
    }

    private void configure() {
        for (int pool = 0; pool < size.pools(); pool++) {
            put(new Pool("pool-" + pool, 1, pool == 0));
            put(new Queue("queue-" + pool, "pool-" + pool, false, false, 60_000, 10_000, 1 << 20, 1000));
        }
        for (int team = 0; team < size.teams(); team++) {
            put(new Team("team-" + team, 1 + team % 4, 100));
        }
        for (int i = 0; i < size.hosts(); i++) {
            int rack = i / HOSTS_PER_RACK;
            Host worker = new Host(
                    "worker-" + i,
                    "10.0." + i / 250 + "." + i % 250 + ":8080",
                    "zone-" + rack % ZONES,
                    "rack-" + rack,
                    "pool-" + i % size.pools(),
                    HostState.ACTIVE,
                    8,
                    64,
                    64,
                    256L << 30,
                    2);
            workers.add(worker);
            put(worker);
        }
    }

    private long put(ConfigurationRecord record) {
        String key = keys.configuration(ConfigurationRecord.kind(record.getClass()), record.name());
        CommitResult result = store.commit(
                Transaction.builder().put(key, RecordCodec.encode(record)).build());
        return result instanceof CommitResult.Committed committed ? committed.revision() : 0;
    }

    private void startHost(int index) {
        MemberId id = new MemberId(String.format("%08x-member-%d", random.nextInt(), index));
        Member self = new Member(id, "entry-" + index, "10.1.0." + index + ":7000", "zone-" + index % ZONES);
        EntryHostOptions options = new EntryHostOptions(SITE, self, PROMISE_TIME, HEARTBEAT_INTERVAL, DRIFT_RATIO);
        MemoryStoreClient client = MemoryStoreClient.create(store, time, random);
        clients.add(client);
        EntryHost host = EntryHost.create(
                options, time, time, random, client, (to, message) -> send(id, to, message), Telemetry.none());
        hosts.put(id, host);
        host.start();
    }

    private void send(MemberId from, MemberId to, PeerMessage message) {
        byte[] encoded = PeerCodec.encode(message);
        peerBytes += encoded.length;
        time.schedule(PEER_DELAY, () -> {
            EntryHost target = hosts.get(to);
            if (target != null) {
                PeerCodec.decode(encoded).peek(decoded -> target.receive(from, decoded));
            }
        });
    }

    private void requireReady() {
        long ready = hosts.values().stream().filter(EntryHost::isReady).count();
        if (ready < size.members()) {
            throw new IllegalStateException(ready + " of " + size.members() + " entry hosts became ready");
        }
    }

    private void scheduleChange() {
        if (size.changesPerDay() == 0) {
            return;
        }
        double meanSeconds = SECONDS_PER_DAY / size.changesPerDay();
        double waitSeconds = -Math.log(1 - random.nextDouble()) * meanSeconds;
        time.schedule(Duration.ofNanos((long) (waitSeconds * 1e9)), () -> {
            changeHostState();
            scheduleChange();
        });
    }

    private void changeHostState() {
        int index = random.nextInt(workers.size());
        Host before = workers.get(index);
        Host after = before.withState(before.state() == HostState.ACTIVE ? HostState.DRAINING : HostState.ACTIVE);
        workers.set(index, after);
        long revision = put(after);
        long startNanos = time.monotonicNanos();
        EntryHost entryHost = hosts.values().iterator().next();
        entryHost.inForceMonitor().await(revision, IN_FORCE_TIMEOUT).thenAccept(state -> {
            long tookNanos = time.monotonicNanos() - startNanos;
            maxInForceNanos = Math.max(maxInForceNanos, state.inForce() ? tookNanos : Long.MAX_VALUE);
        });
    }
}

package org.basilswitch.fleet;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.ConfigurationFollower;
import org.basilswitch.configuration.ConfigurationRecord;
import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a host is rebooted only after its last request, whatever the difference of its wall clock. */
public final class DrainReportClockTest implements WorkerPlatform {
    private static final StoreKeys KEYS = new StoreKeys("test");
    private static final String POOL = "pool";
    /** Age of a report when it is read. */
    private static final Duration REPORT_AGE = Duration.ofMillis(500);
    /** Time from the start of the drain until it is in force at all entry hosts. */
    private static final Duration IN_FORCE_DELAY = Duration.ofMillis(400);
    /** Time from the start of the drain until an entry host that has not learned of it sends the last request. */
    private static final Duration LAST_REQUEST_DELAY = Duration.ofMillis(300);

    private static final Duration REQUEST_TIME = Duration.ofSeconds(10);

    private SimulatedTime time;
    private MemoryStoreClient store;
    private Duration workerClockAhead;
    private long drainedFromNanos;
    private int reboots;
    private int lostAnswers;

    /** Starts each test with an empty store. */
    @BeforeMethod
    public void createStore() {
        time = SimulatedTime.create();
        store = MemoryStoreClient.create(
                MemoryStore.create(time, time), time, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
        drainedFromNanos = Long.MAX_VALUE;
        reboots = 0;
        lostAnswers = 0;
    }

    private void put(String kind, ConfigurationRecord record) {
        store.commit(Transaction.builder()
                .put(KEYS.configuration(kind, record.name()), RecordCodec.encode(record))
                .build());
    }

    private void runWave(Duration ahead) {
        workerClockAhead = ahead;
        put("pools", new Pool(POOL, 1, false));
        for (String name : List.of("h1", "h2", "h3")) {
            put("hosts", new Host(name, "127.0.0.1:1", "z1", name, POOL, HostState.ACTIVE, 8, 64, 64, 1L << 38, 0));
        }
        put("waves", new MaintenanceWave("w", List.of("h1"), List.of(), MaintenanceWave.Phase.RUNNING, 1, ""));
        ConfigurationFollower follower = ConfigurationFollower.create(KEYS, store, time, Telemetry.none());
        follower.start();
        FleetContext context = new FleetContext(
                FleetOptions.defaults(),
                KEYS,
                time,
                time,
                store,
                this,
                revision -> isDrainInForce(),
                follower::current,
                Telemetry.none());
        PoolController.create(context, POOL, new MemberId("m1"), pool -> OptionalInt.empty())
                .start(Duration.ZERO);
        time.runFor(Duration.ofSeconds(60));
    }

    private boolean isDrainInForce() {
        drainedFromNanos = Math.min(drainedFromNanos, time.monotonicNanos());
        return time.monotonicNanos() - drainedFromNanos >= IN_FORCE_DELAY.toNanos();
    }

    /** Returns whether the host runs a request, the last one that any entry host sends to it. */
    private boolean isRunningAt(long nanos) {
        long sinceDrainNanos = nanos - drainedFromNanos;
        return drainedFromNanos != Long.MAX_VALUE
                && sinceDrainNanos >= LAST_REQUEST_DELAY.toNanos()
                && sinceDrainNanos < LAST_REQUEST_DELAY.plus(REQUEST_TIME).toNanos();
    }

    @Override
    public CompletionStage<Either<Failure, HostUsage>> usage(Host host) {
        int running = isRunningAt(time.monotonicNanos() - REPORT_AGE.toNanos()) ? 1 : 0;
        HostUsage report = new HostUsage(
                time.instant().minus(REPORT_AGE).plus(workerClockAhead), "boot-" + reboots, running, true);
        return CompletableFuture.completedFuture(Either.right(report));
    }

    @Override
    public CompletionStage<Either<Failure, Boolean>> reboot(Host host, String bootId) {
        boolean accepted = bootId.equals("boot-" + reboots);
        if (accepted) {
            reboots++;
            lostAnswers += isRunningAt(time.monotonicNanos()) ? 1 : 0;
        }
        return CompletableFuture.completedFuture(Either.right(accepted));
    }

    @Override
    public CompletionStage<Either<Failure, LiveHostList>> liveHosts() {
        return CompletableFuture.completedFuture(
                Either.right(new LiveHostList(time.instant(), Set.of("h1", "h2", "h3"), Set.of())));
    }

    private void assertRebootedAfterLastRequest() {
        Assert.assertEquals(reboots, 1);
        Assert.assertEquals(lostAnswers, 0, "requests cut by the reboot");
    }

    /** With right clocks, a report from before the drain does not count. */
    @Test
    public void hostWithRightClockIsRebootedAfterItsLastRequest() {
        runWave(Duration.ZERO);
        assertRebootedAfterLastRequest();
    }

    /** A report from before the drain does not count when the host's clock is ahead. */
    @Test
    public void hostAheadIsRebootedAfterItsLastRequest() {
        runWave(Duration.ofSeconds(6));
        assertRebootedAfterLastRequest();
    }

    /** A host whose clock is behind is rebooted too. */
    @Test
    public void hostBehindIsRebootedAfterItsLastRequest() {
        runWave(Duration.ofSeconds(-6));
        assertRebootedAfterLastRequest();
    }
}

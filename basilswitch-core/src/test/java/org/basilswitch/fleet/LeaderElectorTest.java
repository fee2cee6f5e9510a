package org.basilswitch.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

@Test(singleThreaded = true)
final class LeaderElectorTest {
    private static final String KEY = "duty";
    private static final Duration LEASE = Duration.ofSeconds(2);
    private static final Duration SMALL_HOST_DELAY = Duration.ofMillis(250);

    private SimulatedTime time;
    private MemoryStore store;

    @BeforeMethod
    public void createStore() {
        time = SimulatedTime.create();
        store = MemoryStore.create(time, time);
    }

    private LeaderElector elector(String name, PlatformStore client, Duration candidacyDelay) {
        return LeaderElector.create(
                KEY, new MemberId(name), time, time, client, Telemetry.none(), LEASE, candidacyDelay);
    }

    private MemoryStoreClient client(int seed) {
        return MemoryStoreClient.create(store, time, RandomSource.SPLIT_MIX_64.create(seed));
    }

    /**
     * Guards against small hosts that acquire a vacant leadership by their regular polls, before larger ones have been told
     * that it is vacant. Scheduling for some hundred servers overloads them.
     */
    @Test
    public void smallHostsLeaveVacantLeadershipToLargeHosts() {
        for (int phaseMs = 0; phaseMs < 2000; phaseMs += 50) {
            createStore();
            MemoryStoreClient leaderClient = client(1);
            LeaderElector leader = elector("leader", leaderClient, Duration.ZERO);
            leader.start(Duration.ZERO);
            time.runFor(Duration.ofMillis(100));
            assertTrue(leader.isLeader());
            List<LeaderElector> small = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                LeaderElector elector = elector("small-" + i, client(10 + i), SMALL_HOST_DELAY);
                elector.start(Duration.ofMillis(i * 100));
                small.add(elector);
            }
            LeaderElector large = elector("large", client(2), Duration.ZERO);
            large.start(Duration.ofMillis(phaseMs));
            time.runFor(Duration.ofMillis(3000 + phaseMs));
            leaderClient.setReachable(false);
            for (int i = 0; i < 5000 && store.get(KEY).isPresent(); i++) {
                time.runFor(Duration.ofMillis(1));
            }
            // The watch tells the hosts within 200 ms.
            time.schedule(Duration.ofMillis(200), large::campaignNow);
            small.forEach(elector -> time.schedule(Duration.ofMillis(50), elector::campaignNow));
            time.runFor(Duration.ofMillis(600));
            assertTrue(
                    large.isLeader(),
                    "phase " + phaseMs + " ms: " + store.get(KEY).map(entry -> new String(entry.value())));
        }
    }

    /** Guards against a fleet without a leader where no large host is left. */
    @Test
    public void smallHostLeadsWhereNoOtherDoes() {
        LeaderElector small = elector("small", client(1), SMALL_HOST_DELAY);
        small.start(Duration.ZERO);
        time.runFor(Duration.ofMillis(400));
        assertTrue(small.isLeader());
    }

    /** Guards against a host that never campaigns again after an exception. */
    @Test
    public void exceptionOfStoreDoesNotEndCandidacy() {
        FailingStore failing = new FailingStore(client(1));
        LeaderElector elector = elector("host", failing, Duration.ZERO);
        elector.start(Duration.ZERO);
        time.runFor(Duration.ofSeconds(5));
        assertTrue(elector.isLeader());
        assertEquals(failing.leaseCalls, 2);
    }

    /** A store whose first grant of a lease fails with an exception. */
    private static final class FailingStore implements PlatformStore {
        private final PlatformStore store;
        private int leaseCalls;

        private FailingStore(PlatformStore store) {
            this.store = store;
        }

        @Override
        public CompletionStage<Either<StoreError, Optional<Entry>>> get(String key) {
            return store.get(key);
        }

        @Override
        public CompletionStage<Either<StoreError, Range>> range(String prefix) {
            return store.range(prefix);
        }

        @Override
        public CompletionStage<Either<StoreError, CommitResult>> commit(Transaction transaction) {
            return store.commit(transaction);
        }

        @Override
        public CompletionStage<Either<StoreError, Long>> grantLease(Duration timeToLive) {
            if (leaseCalls++ == 0) {
                throw new IllegalStateException("unexpected");
            }
            return store.grantLease(timeToLive);
        }

        @Override
        public CompletionStage<Either<StoreError, Long>> keepAlive(long leaseId) {
            return store.keepAlive(leaseId);
        }

        @Override
        public CompletionStage<Either<StoreError, Long>> revokeLease(long leaseId) {
            return store.revokeLease(leaseId);
        }

        @Override
        public Watch watch(String prefix, long fromRevision, WatchListener listener) {
            return store.watch(prefix, fromRevision, listener);
        }
    }
}

package org.basilswitch.daemon.store;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.basilswitch.standin.store.StoreCounts;
import org.basilswitch.standin.store.StoreFaults;
import org.basilswitch.store.CommitResult;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.StoreError;
import org.basilswitch.store.StoreError.Reason;
import org.basilswitch.store.Transaction;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests the client with a store that is down, slow, rate-limited or compacted, loses responses or rejects large values.
 */
public final class EtcdStoreFaultsTest {
    private static final StoreFaults NO_RATE_LIMITS = StoreFaults.none().withRates(0, 0);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);

    private StoreFixture fixture;

    /** Starts a store. */
    @BeforeMethod
    public void start() throws Exception {
        fixture = StoreFixture.start();
    }

    /** Stops the store. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
    }

    private static Transaction create(String key) {
        return Transaction.builder()
                .compare(key, Transaction.ABSENT)
                .put(key, StoreFixture.bytes("value of " + key))
                .build();
    }

    private static URI unusedEndpoint() {
        return URI.create("http://127.0.0.1:1");
    }

    /** A commit whose response is lost is Unknown and not retried; its effect can be read. */
    @Test
    public void commitWithLostAnswerIsUnknownAndNotRetried() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        fixture.setFaults(NO_RATE_LIMITS.withLostAnswerRatio(1));
        StoreError error = StoreFixture.left(adapter.commit(create("a")));
        assertTrue(error instanceof StoreError.Unknown, error.toString());
        StoreCounts.Snapshot counts =
                StoreFixture.await(fixture.server().counts().toCompletionStage());
        assertEquals(counts.of(StoreCounts.Kind.TXN), 1);
        assertEquals(counts.lostAnswers(), 1);
        fixture.setFaults(NO_RATE_LIMITS);
        Optional<PlatformStore.Entry> entry = StoreFixture.right(adapter.get("a"));
        assertEquals(entry.map(StoreFixture::text), Optional.of("value of a"));
    }

    /** A read whose responses are lost is retried up to the limit, then Unknown. */
    @Test
    public void readsAreRetriedUpToLimit() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options.withReadAttempts(4));
        fixture.setFaults(NO_RATE_LIMITS.withLostAnswerRatio(1));
        assertTrue(StoreFixture.left(adapter.get("a")) instanceof StoreError.Unknown);
        StoreCounts.Snapshot counts =
                StoreFixture.await(fixture.server().counts().toCompletionStage());
        assertEquals(counts.of(StoreCounts.Kind.RANGE), 4);
    }

    /** A commit that exceeds the call timeout is Unknown and takes effect later. */
    @Test
    public void timedOutCommitIsUnknownAndTakesEffect() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options.withCallTimeout(SHORT_TIMEOUT));
        EtcdStore longTimeoutAdapter = fixture.adapter(options -> options.withCallTimeout(Duration.ofSeconds(10)));
        StoreFixture.Deliveries deliveries = new StoreFixture.Deliveries();
        adapter.watch("s", 1, deliveries);
        StoreFixture.right(longTimeoutAdapter.commit(create("s0")));
        assertEquals(deliveries.next(), "s0=value of s0");
        fixture.setFaults(NO_RATE_LIMITS.withDelayMs(600));
        StoreError error = StoreFixture.left(adapter.commit(create("s1")));
        assertTrue(error instanceof StoreError.Unknown unknown && unknown.reason() == Reason.TIMEOUT, error.toString());
        CommitResult later = StoreFixture.right(longTimeoutAdapter.commit(create("s1")));
        assertTrue(later instanceof CommitResult.Conflict, later.toString());
        assertEquals(deliveries.next(), "s1=value of s1");
    }

    /** Calls to an endpoint that refuses connections are Refused, as they were never sent. */
    @Test
    public void callsToUnreachableStoreAreRefused() throws Exception {
        EtcdStore adapter = fixture.adapter(List.of(unusedEndpoint()), options -> options);
        assertRefused(adapter.commit(create("a")), Reason.UNREACHABLE);
        assertRefused(adapter.get("a"), Reason.UNREACHABLE);
    }

    /** A call that could not be sent to one endpoint is sent to the next one, including a commit. */
    @Test
    public void unsentCallIsRetriedAtNextEndpoint() throws Exception {
        EtcdStore adapter = fixture.adapter(List.of(unusedEndpoint(), fixture.endpoint()), options -> options);
        assertTrue(StoreFixture.right(adapter.commit(create("a"))) instanceof CommitResult.Committed);
        assertTrue(StoreFixture.right(adapter.get("a")).isPresent());
    }

    /** Calls over the store's rate limits are Refused and have no effect. */
    @Test
    public void rateLimitedCallsAreRefusedWithoutEffect() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        StoreFixture.right(adapter.get("a"));
        fixture.setFaults(StoreFaults.none().withRates(10, 10));
        int committed = 0;
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            Either<StoreError, CommitResult> result = StoreFixture.await(adapter.commit(create("k" + i)));
            committed += result.isRight() ? 1 : 0;
            refused += result.isLeft() && isRefused(result.getLeft(), Reason.RATE_LIMITED) ? 1 : 0;
        }
        assertEquals(committed + refused, 40);
        assertTrue(refused > 0, "no call was refused");
        fixture.setFaults(NO_RATE_LIMITS);
        assertEquals(StoreFixture.right(adapter.range("k")).entries().size(), committed);
    }

    /** A value of 1 MiB is stored, a larger one is Refused. */
    @Test
    public void valuesOverOneMebibyteAreRefused() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options.withCallTimeout(Duration.ofSeconds(10)));
        Transaction largest = Transaction.builder().put("m", new byte[1 << 20]).build();
        assertTrue(StoreFixture.right(adapter.commit(largest)) instanceof CommitResult.Committed);
        Transaction larger =
                Transaction.builder().put("n", new byte[(1 << 20) + 1]).build();
        assertRefused(adapter.commit(larger), Reason.VALUE_TOO_LARGE);
        assertTrue(StoreFixture.right(adapter.get("n")).isEmpty());
    }

    /** Keep-alives and puts with an expired lease are Refused, and the lease's keys are deleted. */
    @Test
    public void expiredLeaseRefusesKeepAlivesAndPuts() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        StoreFixture.Deliveries deliveries = new StoreFixture.Deliveries();
        adapter.watch("l", 1, deliveries);
        long lease = StoreFixture.right(adapter.grantLease(Duration.ofSeconds(1)));
        Transaction put =
                Transaction.builder().put("l1", StoreFixture.bytes("x"), lease).build();
        StoreFixture.right(adapter.commit(put));
        assertEquals(deliveries.next(), "l1=x");
        assertEquals(deliveries.next(), "l1=deleted");
        assertRefused(adapter.keepAlive(lease), Reason.LEASE_LAPSED);
        assertRefused(adapter.commit(put), Reason.LEASE_LAPSED);
    }

    /** After an outage a watch resumes at the next revision; no change is missed or delivered twice. */
    @Test
    public void watchResumesAfterOutage() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        StoreFixture.Deliveries deliveries = new StoreFixture.Deliveries();
        adapter.watch("w", 1, deliveries);
        StoreFixture.right(adapter.commit(create("w1")));
        assertEquals(deliveries.next(), "w1=value of w1");
        fixture.setFaults(NO_RATE_LIMITS.withDown(true));
        StoreError down = StoreFixture.left(adapter.commit(create("w2")));
        assertTrue(down instanceof StoreError.Unknown, down.toString());
        fixture.setFaults(NO_RATE_LIMITS);
        StoreFixture.right(adapter.commit(create("w3")));
        assertEquals(deliveries.next(), "w3=value of w3");
        assertTrue(deliveries.noneWithin(Duration.ofMillis(300)));
    }

    /** A watch from a compacted revision notifies its listener of the compaction. */
    @Test
    public void watchFromCompactedRevisionNotifiesListener() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        for (int i = 0; i < 3; i++) {
            StoreFixture.right(adapter.commit(create("c" + i)));
        }
        StoreFixture.await(fixture.server().compact(3).toCompletionStage());
        StoreFixture.Deliveries deliveries = new StoreFixture.Deliveries();
        adapter.watch("c", 2, deliveries);
        assertEquals(deliveries.next(), "compacted 3");
        adapter.watch("c", 4, deliveries);
        assertEquals(deliveries.next(), "c2=value of c2");
    }

    /** An open watch counts as one call to the store, regardless of the changes delivered. */
    @Test
    public void openWatchCountsAsOneCall() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        StoreFixture.Deliveries deliveries = new StoreFixture.Deliveries();
        adapter.watch("o", 1, deliveries);
        for (int i = 0; i < 5; i++) {
            StoreFixture.right(adapter.commit(create("o" + i)));
            assertEquals(deliveries.next(), "o" + i + "=value of o" + i);
        }
        StoreCounts.Snapshot counts =
                StoreFixture.await(fixture.server().counts().toCompletionStage());
        assertEquals(counts.of(StoreCounts.Kind.WATCH), 1);
        assertEquals(counts.of(StoreCounts.Kind.TXN), 5);
    }

    /** A watch without messages for the idle timeout is reopened and resumes. */
    @Test
    public void silentWatchIsReopened() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options.withWatchIdleTimeout(Duration.ofMillis(300)));
        StoreFixture.Deliveries deliveries = new StoreFixture.Deliveries();
        adapter.watch("i", 1, deliveries);
        StoreFixture.right(adapter.commit(create("i1")));
        assertEquals(deliveries.next(), "i1=value of i1");
        assertTrue(deliveries.noneWithin(Duration.ofMillis(900)));
        StoreFixture.right(adapter.commit(create("i2")));
        assertEquals(deliveries.next(), "i2=value of i2");
        StoreCounts.Snapshot counts =
                StoreFixture.await(fixture.server().counts().toCompletionStage());
        assertTrue(counts.of(StoreCounts.Kind.WATCH) >= 2, counts.toString());
    }

    /** Calls to a closed client are Refused. */
    @Test
    public void closedAdapterRefusesCalls() throws Exception {
        EtcdStore adapter = fixture.adapter(options -> options);
        adapter.close();
        assertRefused(adapter.commit(create("a")), Reason.CLOSED);
    }

    private static boolean isRefused(StoreError error, Reason reason) {
        return error instanceof StoreError.Refused refused && refused.reason() == reason;
    }

    private static <T> void assertRefused(CompletionStage<Either<StoreError, T>> stage, Reason reason)
            throws Exception {
        StoreError error = StoreFixture.left(stage);
        assertTrue(isRefused(error, reason), error.toString());
    }
}

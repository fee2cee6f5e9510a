package org.basilswitch.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.ClaimVerdict;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.SimulatedTime;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests of a claim bucket at its holder: fencing, lost answers, repeated requests and releases. */
public final class ClaimBucketTest {
    private static final ClaimId ID = ClaimId.of("invoice", "id-1");
    private static final Duration CLAIM_TIME = Duration.ofMinutes(10);
    private static final Duration COMMIT_INTERVAL = Duration.ofMillis(80);

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    private final SimulatedTime time = SimulatedTime.create();
    private final MemoryStore store = MemoryStore.create(time, time);

    private ClaimBucket startHolder(String name, MemoryStoreClient client) {
        ClaimBucket bucket = new ClaimBucket(
                1,
                new MemberId(name),
                new StoreKeys("test-" + name.charAt(0)),
                client,
                time,
                time,
                Telemetry.none(),
                COMMIT_INTERVAL);
        bucket.acquire();
        time.runFor(Duration.ofSeconds(1));
        return bucket;
    }

    private MemoryStoreClient client() {
        return MemoryStoreClient.create(store, time, random);
    }

    private List<ClaimVerdict> claim(ClaimBucket bucket, long correlation) {
        List<ClaimVerdict> verdicts = new ArrayList<>();
        bucket.claim(ID, correlation, CLAIM_TIME, verdicts::add);
        return verdicts;
    }

    private List<ClaimVerdict> claimAndWait(ClaimBucket bucket, long correlation) {
        List<ClaimVerdict> verdicts = claim(bucket, correlation);
        time.runFor(Duration.ofSeconds(3));
        return verdicts;
    }

    /** A holder that has not learned of its successor grants nothing. */
    @Test
    public void fencedHolderGrantsNothing() {
        ClaimBucket earlier = startHolder("a1", client());
        ClaimBucket later = startHolder("a2", client());
        Assert.assertEquals(claimAndWait(later, 1), List.of(ClaimVerdict.GRANTED));
        List<ClaimVerdict> verdicts = claim(earlier, 2);
        time.runFor(Duration.ofMillis(100));
        Assert.assertEquals(verdicts, List.of(ClaimVerdict.UNAVAILABLE));
    }

    /** A successor finds the claims of its predecessor; a repetition of the same claim is granted again. */
    @Test
    public void successorRejectsDuplicateAndGrantsRepeat() {
        Assert.assertEquals(claimAndWait(startHolder("b1", client()), 1), List.of(ClaimVerdict.GRANTED));
        ClaimBucket later = startHolder("b2", client());
        Assert.assertEquals(claimAndWait(later, 2), List.of(ClaimVerdict.DUPLICATE));
        Assert.assertEquals(claimAndWait(later, 1), List.of(ClaimVerdict.GRANTED));
    }

    /** A claim whose commit's answer is lost is granted after its group is found in the store. */
    @Test
    public void committedClaimWithLostAnswerIsGranted() {
        MemoryStoreClient client = client();
        ClaimBucket bucket = startHolder("c1", client);
        client.setLostAnswerRatio(1);
        List<ClaimVerdict> verdicts = claim(bucket, 1);
        time.runFor(Duration.ofMillis(500));
        Assert.assertEquals(verdicts, List.of());
        client.setLostAnswerRatio(0);
        time.runFor(Duration.ofSeconds(3));
        Assert.assertEquals(verdicts, List.of(ClaimVerdict.GRANTED));
    }

    /** A commit that reaches the store after a newer fencing token was written does not take effect. */
    @Test
    public void commitOvertakenByNewFenceIsUnavailable() {
        MemoryStoreClient client = client();
        ClaimBucket bucket = startHolder("g1", client);
        client.setOneWayDelay(Duration.ofSeconds(2));
        List<ClaimVerdict> verdicts = claim(bucket, 1);
        time.runFor(Duration.ofMillis(10));
        client.setOneWayDelay(Duration.ofMillis(1));
        time.runFor(Duration.ofSeconds(5));
        Assert.assertEquals(verdicts, List.of(ClaimVerdict.UNAVAILABLE));
        Assert.assertEquals(claimAndWait(bucket, 2), List.of(ClaimVerdict.GRANTED));
    }

    /** While the store is unreachable nothing is granted, and the id can be claimed afterwards. */
    @Test
    public void unreachableStoreMakesClaimUnavailable() {
        MemoryStoreClient client = client();
        ClaimBucket bucket = startHolder("d1", client);
        client.setReachable(false);
        Assert.assertEquals(claimAndWait(bucket, 1), List.of(ClaimVerdict.UNAVAILABLE));
        client.setReachable(true);
        Assert.assertEquals(claimAndWait(bucket, 2), List.of(ClaimVerdict.GRANTED));
    }

    /** A release withdraws only the claim with its correlation, and the id is free at a successor too. */
    @Test
    public void releaseFreesOnlyItsOwnClaim() {
        ClaimBucket bucket = startHolder("e1", client());
        Assert.assertEquals(claimAndWait(bucket, 1), List.of(ClaimVerdict.GRANTED));
        bucket.release(ID, 7);
        Assert.assertEquals(claimAndWait(bucket, 2), List.of(ClaimVerdict.DUPLICATE));
        bucket.release(ID, 1);
        time.runFor(Duration.ofSeconds(1));
        Assert.assertEquals(claimAndWait(startHolder("e2", client()), 3), List.of(ClaimVerdict.GRANTED));
    }

    /** Small groups are merged into fewer records, and every claim is still known to a successor. */
    @Test
    public void smallGroupsAreMergedWithoutLosingClaims() {
        ClaimBucket bucket = startHolder("f1", client());
        for (int i = 0; i < 200; i++) {
            bucket.claim(ClaimId.of("invoice", "merged-" + i), 100 + i, CLAIM_TIME, verdict -> {});
            time.runFor(COMMIT_INTERVAL);
        }
        time.runFor(Duration.ofSeconds(1));
        int records =
                store.range(new StoreKeys("test-f").claimGroups(1)).entries().size();
        Assert.assertTrue(records < 100, "records " + records);
        ClaimBucket later = startHolder("f2", client());
        for (int i = 0; i < 200; i++) {
            List<ClaimVerdict> verdicts = new ArrayList<>();
            later.claim(ClaimId.of("invoice", "merged-" + i), 1_000 + i, CLAIM_TIME, verdicts::add);
            Assert.assertEquals(verdicts, List.of(ClaimVerdict.DUPLICATE));
        }
    }
}

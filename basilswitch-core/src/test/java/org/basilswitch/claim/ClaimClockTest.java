package org.basilswitch.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.event.Telemetry;
import org.basilswitch.peer.MemberId;
import org.basilswitch.peer.PeerMessage.ClaimVerdict;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.StoreKeys;
import org.basilswitch.time.SimulatedTime;
import org.basilswitch.time.SteppedClock;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a claim lasts for its claim time when the wall clock of the bucket's holder is wrong or is stepped. */
public final class ClaimClockTest {
    private static final ClaimId ID = ClaimId.of("invoice", "id-1");
    private static final Duration CLAIM_TIME = Duration.ofMinutes(10);
    /** More than the claim time and the margin for different wall clocks together. */
    private static final Duration LARGE_STEP = Duration.ofMinutes(15);

    private static final Duration COMMIT_INTERVAL = Duration.ofMillis(80);
    private static final StoreKeys KEYS = new StoreKeys("test");

    private SimulatedTime time;
    private MemoryStoreClient client;

    /** Starts each test with an empty store. */
    @BeforeMethod
    public void createStore() {
        time = SimulatedTime.create();
        client = MemoryStoreClient.create(
                MemoryStore.create(time, time), time, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
    }

    private ClaimBucket startHolder(String name, SteppedClock clock) {
        ClaimBucket bucket =
                new ClaimBucket(1, new MemberId(name), KEYS, client, clock, time, Telemetry.none(), COMMIT_INTERVAL);
        bucket.acquire();
        time.runFor(Duration.ofSeconds(1));
        return bucket;
    }

    private SteppedClock clock(Duration wallOffset) {
        return new SteppedClock(time, wallOffset);
    }

    private List<ClaimVerdict> claim(ClaimBucket bucket, ClaimId id, long correlation) {
        List<ClaimVerdict> verdicts = new ArrayList<>();
        bucket.claim(id, correlation, CLAIM_TIME, verdicts::add);
        time.runFor(Duration.ofSeconds(3));
        return verdicts;
    }

    private void assertClaimed(ClaimBucket bucket) {
        Assert.assertEquals(claim(bucket, ID, 1), List.of(ClaimVerdict.GRANTED));
    }

    private void assertDuplicate(ClaimBucket bucket, String when) {
        Assert.assertEquals(claim(bucket, ID, 2), List.of(ClaimVerdict.DUPLICATE), when);
    }

    /** A step of the holder's wall clock ends no claim. */
    @Test
    public void claimOutlastsStepOfHoldersWallClock() {
        SteppedClock stepped = clock(Duration.ZERO);
        ClaimBucket bucket = startHolder("a", stepped);
        assertClaimed(bucket);
        stepped.setWallOffset(LARGE_STEP);
        assertDuplicate(bucket, "3 s after the claim");
    }

    /** After a step the holder deletes no record of a claim that lasts, so that a successor knows the claim. */
    @Test
    public void recordOutlastsStepOfHoldersWallClock() {
        SteppedClock stepped = clock(Duration.ZERO);
        ClaimBucket bucket = startHolder("a", stepped);
        assertClaimed(bucket);
        stepped.setWallOffset(LARGE_STEP);
        Assert.assertEquals(claim(bucket, ClaimId.of("invoice", "id-2"), 3), List.of(ClaimVerdict.GRANTED));
        assertDuplicate(startHolder("b", clock(Duration.ZERO)), "at the successor, 7 s after the claim");
    }

    /** A holder whose wall clock is ahead keeps the claims that it finds. */
    @Test
    public void claimOutlastsTakeoverByHostAhead() {
        assertClaimed(startHolder("a", clock(Duration.ZERO)));
        assertDuplicate(startHolder("b", clock(LARGE_STEP)), "at the successor, 4 s after the claim");
    }

    /** A claim made while the holder's wall clock was behind lasts after the clock is set right. */
    @Test
    public void claimOutlastsCorrectionOfClockBehind() {
        SteppedClock behind = clock(LARGE_STEP.negated());
        ClaimBucket bucket = startHolder("a", behind);
        assertClaimed(bucket);
        behind.setWallOffset(Duration.ZERO);
        assertDuplicate(bucket, "3 s after the claim");
    }

    /** A key can be claimed again after its claim time and the margin, also when its holder took the fence again. */
    @Test
    public void claimEndsAfterItsTime() {
        ClaimBucket bucket = startHolder("a", clock(Duration.ZERO));
        assertClaimed(bucket);
        time.runFor(CLAIM_TIME);
        bucket.acquire();
        assertDuplicate(bucket, "within the margin");
        time.runFor(Duration.ofMinutes(1));
        Assert.assertEquals(claim(bucket, ID, 3), List.of(ClaimVerdict.GRANTED));
    }

    /** A successor keeps a claim that it finds for the whole claim time from then on, and no longer. */
    @Test
    public void foundClaimEndsAfterItsTimeAtSuccessor() {
        assertClaimed(startHolder("a", clock(Duration.ZERO)));
        time.runFor(CLAIM_TIME.dividedBy(2));
        ClaimBucket later = startHolder("b", clock(LARGE_STEP));
        time.runFor(CLAIM_TIME.minusSeconds(5));
        assertDuplicate(later, "before the claim time has passed at the successor");
        time.runFor(Duration.ofSeconds(5));
        Assert.assertEquals(claim(later, ID, 3), List.of(ClaimVerdict.GRANTED));
    }

    /** A claim that ended more than a day ago is not kept again. */
    @Test
    public void claimEndedLongAgoIsNotKept() {
        assertClaimed(startHolder("a", clock(Duration.ZERO)));
        time.runFor(CLAIM_TIME.plusDays(1));
        Assert.assertEquals(claim(startHolder("b", clock(Duration.ZERO)), ID, 3), List.of(ClaimVerdict.GRANTED));
    }

    /** A successor keeps the claims that a host behind has made. */
    @Test
    public void claimOutlastsTakeoverFromHostBehind() {
        assertClaimed(startHolder("a", clock(LARGE_STEP.negated())));
        assertDuplicate(startHolder("b", clock(Duration.ZERO)), "at the successor, 4 s after the claim");
    }
}

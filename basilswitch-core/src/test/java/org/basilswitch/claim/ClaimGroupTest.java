package org.basilswitch.claim;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests that programs before and after the claim time was added to the records read each other's records. */
public final class ClaimGroupTest {
    private static final String KEY = "claims/1/000000000001-000000000000";
    private static final int CLAIM_BYTES = 33;
    private static final ClaimInstant NOW = new ClaimInstant(1_000_000, 5);
    private static final Duration CLAIM_TIME = Duration.ofMinutes(10);

    private static List<Claim> claims() {
        Claim first = Claim.starting(ClaimId.of("invoice", "id-1"), 1, CLAIM_TIME, NOW);
        Claim second = Claim.starting(ClaimId.of("invoice", "id-2"), 2, Duration.ofMinutes(1), NOW);
        return List.of(first, second.toRelease());
    }

    /** The earlier program's loop over the claims of a record. */
    private static List<Long> readCorrelationsAsEarlierProgram(byte[] value) {
        ByteBuffer buffer = ByteBuffer.wrap(value);
        buffer.get();
        List<Long> correlations = new ArrayList<>();
        while (buffer.remaining() >= CLAIM_BYTES) {
            buffer.getLong();
            buffer.getLong();
            correlations.add(buffer.getLong());
            buffer.getLong();
            buffer.get();
        }
        return correlations;
    }

    /** An earlier program finds all claims, and ignores the claim time behind them. */
    @Test
    public void earlierProgramReadsRecord() {
        byte[] value = new ClaimGroup(KEY, claims()).encode();
        Assert.assertEquals(readCorrelationsAsEarlierProgram(value), List.of(1L, 2L));
    }

    /** The record of an earlier program is read, and its claims end by the wall clock alone. */
    @Test
    public void earlierRecordIsReadWithoutClaimTime() {
        byte[] value = new ClaimGroup(KEY, claims()).encode();
        byte[] earlier = Arrays.copyOf(value, 1 + claims().size() * CLAIM_BYTES);
        List<Claim> read = ClaimGroup.decode(KEY, earlier, NOW).claims();
        Assert.assertEquals(read.stream().map(Claim::correlation).toList(), List.of(1L, 2L));
        Assert.assertEquals(read.stream().map(Claim::claimTimeMs).toList(), List.of(0L, 0L));
        Assert.assertEquals(read.get(0).expiresMs(), claims().get(0).expiresMs());
    }

    /** Claims that are read are kept for the longest claim time of their record, whatever the wall clock says. */
    @Test
    public void readRecordStatesLongestClaimTime() {
        byte[] value = new ClaimGroup(KEY, claims()).encode();
        List<Claim> read = ClaimGroup.decode(KEY, value, NOW).claims();
        long longestMs = CLAIM_TIME.toMillis();
        Assert.assertEquals(read.stream().map(Claim::claimTimeMs).toList(), List.of(longestMs, longestMs));
        Assert.assertEquals(read.stream().map(Claim::released).toList(), List.of(false, true));
        Assert.assertFalse(read.get(0).isOver(new ClaimInstant(Long.MAX_VALUE, CLAIM_TIME.toNanos())));
    }
}

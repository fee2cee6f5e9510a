package org.basilswitch.schedule;

import java.time.Duration;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class LeaseGrantsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final Duration MAX_LEASE = Duration.ofMillis(9800);
    /** The longest lease on a clock that is 2 % slow. */
    private static final long MAX_RUN = 10 * SECOND;

    private LeaseGrants grants;

    @BeforeMethod
    public void create() {
        grants = LeaseGrants.none(MAX_LEASE);
    }

    @Test
    public void withoutCallsNextIncarnationHoldsNothing() {
        assertEquals(grants.expiryOnNextNanos(SECOND), Optional.empty());
    }

    @Test
    public void answeredRenewalIsNotCarriedOutLater() {
        grants.renewalSent(SECOND);
        grants.renewalAnswered();
        assertEquals(grants.expiryOnNextNanos(2 * SECOND), Optional.empty());
    }

    /** Guards against runs that are taken for ended while a call that is in progress or lost may extend them. */
    @Test
    public void renewalWithoutAnswerMayBeCarriedOutByNextIncarnation() {
        grants.renewalSent(SECOND);
        long expiry = SECOND + LeaseGrants.MAX_CALL_DELAY.toNanos() + MAX_RUN;
        assertEquals(grants.expiryOnNextNanos(2 * SECOND), Optional.of(expiry));
        grants.renewalUnanswered();
        assertEquals(grants.expiryOnNextNanos(2 * SECOND), Optional.of(expiry));
        assertEquals(grants.expiryOnNextNanos(expiry), Optional.empty());
    }

    /** Guards against taking the answer to a start, which names no incarnation, for that of the former one. */
    @Test
    public void answeredStartMayBeOfNextIncarnationUntilThisOneReports() {
        grants.startAnswered(3 * SECOND, 30 * SECOND);
        assertEquals(grants.expiryOnNextNanos(4 * SECOND), Optional.of(3 * SECOND + MAX_RUN));
        grants.reported(29 * SECOND);
        assertEquals(grants.expiryOnNextNanos(4 * SECOND), Optional.of(3 * SECOND + MAX_RUN));
        grants.reported(30 * SECOND);
        assertEquals(grants.expiryOnNextNanos(4 * SECOND), Optional.empty());
    }

    /** Guards against holding runs for calls that an incarnation rejects since it has seen its own token. */
    @Test
    public void inheritedHoldEndsWithLongestLeaseAfterFencing() {
        grants.inherit(23 * SECOND);
        assertEquals(grants.inheritedHold(SECOND), Duration.ofSeconds(22));
        grants.fenced(2 * SECOND);
        grants.fenced(5 * SECOND);
        assertEquals(grants.expiryNanos(), 2 * SECOND + MAX_RUN);
        assertEquals(grants.inheritedHold(2 * SECOND), Duration.ofSeconds(10));
        assertEquals(grants.inheritedHold(13 * SECOND), Duration.ZERO);
    }

    /** Guards against forgetting what an incarnation after the next may carry out, which has seen no token. */
    @Test
    public void fencingDoesNotProtectTheNextIncarnation() {
        grants.inherit(23 * SECOND);
        grants.fenced(2 * SECOND);
        assertEquals(grants.expiryOnNextNanos(3 * SECOND), Optional.of(23 * SECOND));
    }

    @Test
    public void ownLeaseIsNeverShortened() {
        grants.extendExpiry(6 * SECOND);
        grants.extendExpiry(5 * SECOND);
        assertEquals(grants.expiryNanos(), 6 * SECOND);
    }
}

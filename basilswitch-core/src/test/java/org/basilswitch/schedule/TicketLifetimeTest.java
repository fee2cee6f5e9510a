package org.basilswitch.schedule;

import java.time.Duration;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

final class TicketLifetimeTest {
    private static final Duration VALIDITY = Duration.ofMillis(3000);

    private static long nanos(long ms) {
        return Duration.ofMillis(ms).toNanos();
    }

    private static Ticket ticket(long sentMs, long answeredMs, Duration validity) {
        return new Ticket("t", nanos(sentMs), nanos(answeredMs), validity);
    }

    @DataProvider
    public Object[][] validities() {
        return new Object[][] {{0}, {1}, {50}, {800}, {3000}, {60_000}};
    }

    /** Guards against a service that is so slow that each of its tickets counts as expired on arrival. */
    @Test(dataProvider = "validities")
    public void ticketIsUsedWhenItArrives(long validityMs) {
        TicketLifetime lifetime = new TicketLifetime();
        for (long tookMs : new long[] {0, 300, 2500, 10_000}) {
            Ticket ticket = ticket(0, tookMs, Duration.ofMillis(validityMs));
            lifetime.onRejected(ticket(0, 100_000, VALIDITY), nanos(100_001));
            assertTrue(lifetime.isUsableForPlacement(ticket, nanos(tookMs) + 1));
            assertTrue(lifetime.isUsableForStart(ticket, nanos(tookMs) + 1));
        }
    }

    @Test
    public void validityBeginsWithAnswerUntilServerRejectsStart() {
        TicketLifetime lifetime = new TicketLifetime();
        Ticket ticket = ticket(0, 2500, VALIDITY);
        assertTrue(lifetime.isUsableForStart(ticket, nanos(5400)));
        assertFalse(lifetime.isUsableForStart(ticket, nanos(5500)));
        lifetime.onRejected(ticket, nanos(4000));
        assertTrue(lifetime.isUsableForStart(ticket, nanos(2900)));
        assertFalse(lifetime.isUsableForStart(ticket, nanos(3100)));
        lifetime.onAccepted(ticket, nanos(3200));
        assertTrue(lifetime.isUsableForStart(ticket, nanos(5400)));
    }

    /** Guards against shorter lives of all tickets since one was rejected for another reason. */
    @Test
    public void rejectionOfFreshTicketTellsNothing() {
        TicketLifetime lifetime = new TicketLifetime();
        Ticket ticket = ticket(0, 300, VALIDITY);
        lifetime.onRejected(ticket, nanos(400));
        assertTrue(lifetime.isUsableForStart(ticket, nanos(3200)));
    }

    /** Guards against starts that are sent too late, as their record is stored first. */
    @Test
    public void placementLeavesTimeToStoreRecord() {
        TicketLifetime lifetime = new TicketLifetime();
        assertEquals(TicketLifetime.usableTime(VALIDITY), Duration.ofMillis(2400));
        assertEquals(TicketLifetime.usableTime(Duration.ofMillis(800)), Duration.ofMillis(600));
        Ticket ticket = ticket(0, 300, VALIDITY);
        assertTrue(lifetime.isUsableForPlacement(ticket, nanos(2600)));
        assertFalse(lifetime.isUsableForPlacement(ticket, nanos(2800)));
    }
}

package org.basilswitch.schedule;

import java.time.Duration;

import org.basilswitch.job.AdviceTimes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class AdviceCallSizeTest {
    private static final Duration VALIDITY = Duration.ofMillis(3000);
    private static final long DECIDE_MS = 300;
    private static final long PER_SERVER_MS = 30;

    private static AdviceCallSize size() {
        return size(new AdviceTimes(DECIDE_MS, PER_SERVER_MS, VALIDITY.toMillis()));
    }

    private static AdviceCallSize size(AdviceTimes times) {
        return AdviceCallSize.of(times, new TicketLifetime());
    }

    private static Duration callTime(int servers) {
        return Duration.ofMillis(DECIDE_MS + servers * PER_SERVER_MS);
    }

    /** Guards against ever smaller calls after the renewal of a single ticket, most of whose time is that of any call. */
    @Test
    public void shortCallsDoNotMakeLaterOnesSmaller() {
        AdviceCallSize size = size();
        size.onAnswer(30, callTime(30), VALIDITY);
        size.onAnswer(1, callTime(1), VALIDITY);
        assertEquals(size.max(), 30);
    }

    @Test
    public void fastServiceIsAskedAboutAsManyServersAsItTakes() {
        AdviceCallSize size = size();
        size.onAnswer(30, Duration.ofMillis(50), VALIDITY);
        assertEquals(size.shared(0, 1), 30);
        assertEquals(size.shared(30, 1), 100);
    }

    @Test
    public void callsThatUseUpTheValidityBecomeSmaller() {
        AdviceCallSize size = size();
        size.onAnswer(30, Duration.ofMillis(2600), VALIDITY);
        assertTrue(size.max() < 15, "" + size.max());
        size.onNoAnswer();
        assertTrue(size.max() < 8, "" + size.max());
        for (int i = 0; i < 10; i++) {
            size.onNoAnswer();
        }
        assertEquals(size.max(), 1);
    }

    /** Guards against calls about single servers when the time for any call uses up the validity alone. */
    @Test
    public void timeForAnyCallDoesNotMakeCallsSmaller() {
        AdviceCallSize size = size(new AdviceTimes(2500, 1, 3000));
        for (int i = 0; i < 5; i++) {
            size.onAnswer(30, Duration.ofMillis(2530), VALIDITY);
        }
        assertEquals(size.max(), 100);
    }

    /** Guards against calls about single servers where the operator does not state the validity of tickets. */
    @Test
    public void callsAreNotSmallWithoutStatedValidity() {
        AdviceCallSize size = size(new AdviceTimes(0, 0, 0));
        assertEquals(size.max(), 30);
        size.onAnswer(30, Duration.ofMillis(1200), Duration.ZERO);
        assertEquals(size.max(), 30);
        size.onAnswer(30, Duration.ofMillis(50), VALIDITY);
        assertEquals(size.max(), 100);
    }

    /** Guards against calls that outlive their tickets where servers count the validity from the call. */
    @Test
    public void callsAreShorterThanValidityThatBeginsWithCall() {
        TicketLifetime lifetime = new TicketLifetime();
        AdviceCallSize size = AdviceCallSize.of(new AdviceTimes(2000, 100, 3000), lifetime);
        assertEquals(size.max(), 20);
        lifetime.onRejected(
                new Ticket("t", 0, Duration.ofMillis(4000).toNanos(), VALIDITY),
                Duration.ofMillis(4010).toNanos());
        assertEquals(size.max(), 7);
    }

    /** Guards against long calls that keep many other steps waiting. */
    @Test
    public void callsAreShortWhileManyStepsWait() {
        assertEquals(size().shared(0, 1), 30);
        assertEquals(size().shared(0, 2), 15);
        assertEquals(size().shared(0, 16), 1);
    }

    @DataProvider
    public Object[][] statedTimes() {
        return new Object[][] {{0, 0}, {20, 1}, {300, 30}, {2500, 1}, {5000, 10}, {0, 200}, {60_000, 500}};
    }

    /** Guards against calls that are given up before the service has had the time which it is stated to take. */
    @Test(dataProvider = "statedTimes")
    public void timeLimitCoversStatedTime(long decideMs, long perServerMs) {
        AdviceCallSize size = size(new AdviceTimes(decideMs, perServerMs, 3000));
        for (int servers : new int[] {1, 30, 100}) {
            long statedMs = decideMs + servers * perServerMs;
            assertTrue(size.timeLimit(servers).toMillis() > statedMs, size.timeLimit(servers) + " for " + statedMs);
        }
    }

    /** Guards against a service that is slower than stated and never has enough time for an answer. */
    @Test
    public void timeLimitGrowsWithoutAnswers() {
        AdviceCallSize size = size();
        Duration first = size.timeLimit(30);
        size.onNoAnswer();
        assertEquals(size.timeLimit(30), first.multipliedBy(2));
        size.onAnswer(30, callTime(30), VALIDITY);
        assertEquals(size.timeLimit(30), first);
    }
}

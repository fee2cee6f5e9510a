package org.basilswitch.schedule;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class AdviceCallSizeTest {
    private static final Duration VALIDITY = Duration.ofMillis(3000);
    private static final long DECIDE_MS = 300;
    private static final long PER_SERVER_MS = 30;

    private static Duration callTime(int servers) {
        return Duration.ofMillis(DECIDE_MS + servers * PER_SERVER_MS);
    }

    /** Guards against ever smaller calls after the renewal of a single ticket, most of whose time is that of any call. */
    @Test
    public void shortCallsDoNotMakeLaterOnesSmaller() {
        AdviceCallSize size = new AdviceCallSize();
        size.onAnswer(30, callTime(30), VALIDITY);
        size.onAnswer(1, callTime(1), VALIDITY);
        assertEquals(size.forExploration(false), 30);
    }

    @Test
    public void fastServiceIsAskedAboutAsManyServersAsItTakes() {
        AdviceCallSize size = new AdviceCallSize();
        size.onAnswer(30, Duration.ofMillis(50), VALIDITY);
        assertEquals(size.forExploration(true), 30);
        assertEquals(size.forExploration(false), 100);
        assertEquals(size.forRenewal(false), 30);
        assertEquals(size.forRenewal(true), 100);
    }

    @Test
    public void callsThatUseUpTheValidityBecomeSmaller() {
        AdviceCallSize size = new AdviceCallSize();
        size.onAnswer(30, Duration.ofMillis(2600), VALIDITY);
        assertTrue(size.forExploration(false) < 15);
        size.onNoAnswer(size.forExploration(false));
        assertTrue(size.forExploration(false) < 8);
        for (int i = 0; i < 10; i++) {
            size.onNoAnswer(1);
        }
        assertEquals(size.forExploration(false), 1);
    }
}

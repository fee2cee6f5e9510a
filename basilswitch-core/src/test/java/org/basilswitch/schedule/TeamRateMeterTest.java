package org.basilswitch.schedule;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class TeamRateMeterTest {

    /** Load pattern: one team submits many times its usual rate. */
    @Test
    public void onlyTheTeamAboveItsRateIsMarked() {
        TeamRateMeter rates = new TeamRateMeter();
        int beyond = 0;
        for (int i = 0; i < 400; i++) {
            long nanos = i * 10_000_000L;
            beyond += rates.countAndCheckExceeded("large", 10, nanos) ? 1 : 0;
            if (i % 20 == 0) {
                assertEquals(rates.countAndCheckExceeded("small", 10, nanos), false);
            }
        }
        assertTrue(beyond > 300 && beyond < 360, "above its 10 per second: " + beyond + " of 400");
    }
}

package org.basilswitch.schedule;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class OfferedLoadTest {
    private static final long MS = 1_000_000;

    @Test
    public void steadyLoadProjectsItsCurrentCores() {
        OfferedLoad load = new OfferedLoad();
        for (int ms = 0; ms < 3000; ms += 10) {
            load.add("pool", 100, ms * MS);
        }
        assertEquals(load.projectedCores("pool", Duration.ofSeconds(2), 3000 * MS), 10, 0.5);
    }

    /** Load pattern: a peak rises within two seconds, which is the time that a host takes to move. */
    @Test
    public void risingLoadIsExtrapolated() {
        OfferedLoad load = new OfferedLoad();
        for (int ms = 0; ms < 2000; ms += 10) {
            load.add("pool", ms / 10.0, ms * MS);
        }
        double now = 15;
        assertTrue(load.projectedCores("pool", Duration.ofSeconds(2), 2000 * MS) > 1.6 * now);
    }

    @Test
    public void arrivalsOutsideTheWindowAreDropped() {
        OfferedLoad load = new OfferedLoad();
        load.add("pool", 1000, 0);
        assertEquals(load.projectedCores("pool", Duration.ofSeconds(2), 5000 * MS), 0.0);
        assertEquals(load.projectedCores("other", Duration.ofSeconds(2), 0), 0.0);
    }
}

package org.basilswitch.job;

import java.util.Set;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class JobTeamTest {

    private static JobTeam team(Resources limit) {
        return new JobTeam("team", Set.of("key"), 1, limit);
    }

    private static Resources cores(long cores) {
        return new Resources(cores * 1000, 0, 0);
    }

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            // Limit, running, work item, count, whether they may start; all in cores.
            {10, 6, 4, 1, true},
            {10, 6, 5, 1, false},
            {10, 4, 7, 1, true},
            {10, 5, 6, 1, false},
            {5, 0, 6, 1, true},
            {5, 5, 6, 1, true},
            {5, 6, 6, 1, false},
            {5, 6, 1, 1, false},
            {9, 0, 4, 3, true},
            {9, 2, 4, 3, false},
            {9, 0, 4, 4, false},
            {10, 0, 4, 4, false},
            {0, 100, 100, 9, true},
            {-1, 0, 1, 1, false},
        };
    }

    @Test(dataProvider = "starts")
    public void startsAreAllowedByLimitAndRunningWork(int limit, int running, int item, int count, boolean allowed) {
        assertEquals(team(cores(limit)).allowsStart(cores(running), cores(item), count), allowed);
    }

    /** Guards against a start that brings a team further above its limit than by one work item. */
    @Test
    public void allowedStartsExceedLimitByLessThanOneItem() {
        for (int limit = 1; limit <= 12; limit++) {
            for (int running = 0; running <= 2 * limit; running++) {
                for (int item = 1; item <= 15; item++) {
                    for (int count = 1; count <= 4; count++) {
                        boolean allowed = team(cores(limit)).allowsStart(cores(running), cores(item), count);
                        assertTrue(!allowed || running + item * count <= limit + item);
                    }
                }
            }
        }
    }

    /** Guards against a work item that waits although less than half of its team's limit is in use. */
    @Test
    public void workItemOfAnySizeStartsBelowHalfOfLimit() {
        Resources limit = new Resources(5000, 2000, 2);
        Resources running = new Resources(2000, 900, 0);
        for (Resources item : new Resources[] {
            new Resources(6000, 100, 0), new Resources(4000, 100, 0), new Resources(1, 3000, 0), new Resources(1, 1, 8)
        }) {
            assertTrue(team(limit).allowsStart(running, item, 1), item.toString());
        }
    }
}

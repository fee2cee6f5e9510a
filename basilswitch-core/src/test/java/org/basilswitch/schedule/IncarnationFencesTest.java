package org.basilswitch.schedule;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

final class IncarnationFencesTest {
    private static final long LEADERSHIP = 7;

    private final IncarnationFences fences = IncarnationFences.of(LEADERSHIP);

    private static BackendServer.Incarnation incarnation(long startedAtMs) {
        return new BackendServer.Incarnation("s", startedAtMs);
    }

    /** Guards against calls for a former incarnation that the next one carries out. */
    @Test
    public void nextIncarnationGetsHigherToken() {
        long first = fences.token(incarnation(100));
        long second = fences.token(incarnation(200));
        assertTrue(second > first, second + " is not above " + first);
        assertEquals(fences.token(incarnation(200)), second);
        assertFalse(fences.isHighest(incarnation(100), first));
        assertTrue(fences.isHighest(incarnation(200), second));
    }

    /** Guards against a list that was read before a restart and gives the ended incarnation the highest token. */
    @Test
    public void earlierIncarnationThatIsSeenLaterGetsLowerToken() {
        long latest = fences.token(incarnation(200));
        assertTrue(fences.token(incarnation(100)) < latest);
        assertTrue(fences.isHighest(incarnation(200), latest));
    }

    /** Guards against a server that rejects all calls because its wall clock went back between two starts. */
    @Test
    public void tokenCanBeRaisedAboveAllOthers() {
        long before = fences.token(incarnation(200));
        long lower = fences.token(incarnation(100));
        assertFalse(fences.isHighest(incarnation(100), lower));
        assertTrue(fences.raise(incarnation(100)) > before);
    }

    /** Guards against a leader whose tokens reach those of the next one. */
    @Test
    public void nextLeadershipIsAboveAnyNumberOfRestarts() {
        long highest = 0;
        for (int start = 1; start <= 2 * IncarnationFences.TOKENS_PER_LEADERSHIP; start++) {
            highest = fences.token(incarnation(start));
        }
        long next = IncarnationFences.of(LEADERSHIP + 1).token(incarnation(1));
        assertTrue(next > highest, next + " is not above " + highest);
    }
}

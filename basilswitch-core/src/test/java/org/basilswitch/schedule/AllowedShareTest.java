package org.basilswitch.schedule;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class AllowedShareTest {
    private static final List<String> SERVERS =
            IntStream.range(0, 30).mapToObj(i -> "s" + i).toList();

    @Test
    public void nothingIsExpectedBeforeTheFirstAnswer() {
        AllowedShare share = new AllowedShare();
        assertEquals(share.ofStep(0, 0), 0.5);
        assertEquals(share.ofServer("s1", 0.5), 0.5);
    }

    @Test
    public void laterStepsOfQueueAreExpectedToBeLikeEarlierOnes() {
        AllowedShare share = new AllowedShare();
        share.onAnswer(SERVERS, Set.copyOf(SERVERS));
        assertTrue(share.ofStep(0, 0) > 0.9);
        for (int i = 0; i < 20; i++) {
            share.onAnswer(SERVERS, Set.of());
        }
        assertTrue(share.ofStep(0, 0) < 0.1);
    }

    @Test
    public void stepsOwnAnswersCountMost() {
        AllowedShare share = new AllowedShare();
        share.onAnswer(SERVERS, Set.copyOf(SERVERS));
        assertTrue(share.ofStep(30, 0) < 0.2);
    }

    /** Guards against calls about servers that no step may run on, while the ones that all may run on are known. */
    @Test
    public void serversThatManyStepsMayRunOnAreLikelier() {
        AllowedShare share = new AllowedShare();
        for (int i = 0; i < 10; i++) {
            share.onAnswer(SERVERS, Set.of("s29"));
        }
        double ofStep = share.ofStep(0, 0);
        assertTrue(share.ofServer("s29", ofStep) > 0.6);
        assertTrue(share.ofServer("s1", ofStep) < 0.1);
    }

    /** Guards against a policy that has changed since long and is still expected. */
    @Test
    public void oldAnswersAreForgotten() {
        AllowedShare share = new AllowedShare();
        for (int i = 0; i < 1000; i++) {
            share.onAnswer(SERVERS, Set.of());
        }
        for (int i = 0; i < 100; i++) {
            share.onAnswer(SERVERS, Set.copyOf(SERVERS));
        }
        assertTrue(share.ofStep(0, 0) > 0.8);
        assertTrue(share.ofServer("s1", share.ofStep(0, 0)) > 0.6);
    }
}

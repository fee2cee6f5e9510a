package org.basilswitch.time;

import java.time.Duration;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

@Test(singleThreaded = true)
final class UnsteppedWallClockTest {
    private static final long REMOTE_START_MS = 48_000;

    private SimulatedTime time;
    private SteppedClock hostClock;
    private UnsteppedWallClock clock;
    private Duration wallOffset;
    private long startMs;
    private long realMs;

    @BeforeMethod
    public void createClock() {
        time = SimulatedTime.create();
        wallOffset = Duration.ZERO;
        hostClock = new SteppedClock(time, wallOffset);
        clock = UnsteppedWallClock.of(hostClock);
        startMs = hostClock.millis();
        realMs = 0;
    }

    private void advance(long ms) {
        time.runFor(Duration.ofMillis(ms));
        realMs += ms;
    }

    private void step(long ms) {
        wallOffset = wallOffset.plusMillis(ms);
        hostClock.setWallOffset(wallOffset);
    }

    private void suspend(long ms) {
        step(ms);
        realMs += ms;
    }

    /** Reads the steady clocks of the first servers, whose answers took the given time. */
    private void observe(int servers, long delayMs) {
        for (int i = 0; i < servers; i++) {
            clock.observe("s" + i, REMOTE_START_MS + i * 1000L + realMs - delayMs);
        }
    }

    private long elapsedMs() {
        return clock.millis() - startMs;
    }

    @Test
    public void forwardStepIsNotFollowed() {
        observe(5, 1);
        advance(1000);
        step(6000);
        observe(5, 1);
        advance(1000);
        observe(5, 1);
        assertEquals(elapsedMs(), 2000);
    }

    @Test
    public void backwardStepIsFollowed() {
        advance(1000);
        step(-400);
        assertEquals(elapsedMs(), 600);
    }

    @Test
    public void suspensionIsCountedOnceHalfOfTheServersShowIt() {
        observe(5, 1);
        advance(1000);
        suspend(3000);
        observe(2, 1);
        assertEquals(elapsedMs(), 1000);
        observe(5, 1);
        assertEquals(elapsedMs(), 4000);
        advance(500);
        observe(5, 1);
        assertEquals(elapsedMs(), 4500);
    }

    @Test
    public void stepDuringSuspensionIsNotFollowed() {
        observe(5, 1);
        suspend(2000);
        step(6000);
        observe(5, 1);
        assertEquals(elapsedMs(), 2000);
    }

    @Test
    public void lateAnswersAreNotTakenForSuspension() {
        observe(5, 1);
        step(6000);
        advance(1000);
        observe(5, 900);
        advance(1000);
        observe(5, 1);
        assertEquals(elapsedMs(), 2000);
    }

    /** Guards against a list of servers that have left, which would hide a suspension. */
    @Test
    public void serversThatLeftAreReplaced() {
        for (int i = 0; i < 100; i++) {
            clock.observe("left" + i, 1000);
        }
        advance(20_000);
        observe(20, 1);
        suspend(3000);
        observe(20, 1);
        assertEquals(elapsedMs(), 23_000);
    }

    @Test
    public void clocksThatRunSlowDoNotMoveItAhead() {
        for (int i = 0; i < 100; i++) {
            advance(1000);
            step(100);
            for (int server = 0; server < 5; server++) {
                clock.observe("s" + server, realMs * 98 / 100);
            }
            assertTrue(elapsedMs() <= realMs, elapsedMs() + " ms after " + realMs + " ms");
        }
    }
}

package org.basilswitch.time;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

@Test(singleThreaded = true)
final class SuspendAwareClockTest {
    private HostClock hostClock;
    private List<Duration> jumps;
    private SuspendAwareClock clock;
    private long startNanos;

    /** Clocks of a host; the monotonic clock stands still while the host is suspended, as on Linux. */
    private static final class HostClock implements Clock {
        private Instant wall = Instant.parse("2026-02-21T03:20:25Z");
        private long monotonicNanos = 7_000_000_000L;
        private long pauseMs;

        @Override
        public Instant instant() {
            long ms = pauseMs;
            pauseMs = 0;
            advance(ms);
            return wall;
        }

        /** Pauses the process, not the host, just before the next reading of the wall clock. */
        void pauseBeforeNextWallReading(long ms) {
            pauseMs = ms;
        }

        @Override
        public long monotonicNanos() {
            return monotonicNanos;
        }

        void advance(long ms) {
            monotonicNanos += Duration.ofMillis(ms).toNanos();
            moveWall(ms);
        }

        /** Moves the wall clock alone: a suspension, or a step of the wall clock. */
        void moveWall(long ms) {
            wall = wall.plusMillis(ms);
        }
    }

    @BeforeMethod
    public void createClock() {
        hostClock = new HostClock();
        jumps = new ArrayList<>();
        clock = SuspendAwareClock.of(hostClock, jumps::add);
        startNanos = clock.monotonicNanos();
    }

    private long elapsedMs() {
        return Duration.ofNanos(clock.monotonicNanos() - startNanos).toMillis();
    }

    @Test
    public void bothClocksAdvance() {
        hostClock.advance(60_000);
        assertEquals(elapsedMs(), 60_000);
        assertEquals(jumps, List.of());
    }

    @Test
    public void suspensionIsAddedAndObserved() {
        hostClock.advance(400);
        hostClock.moveWall(6000);
        assertEquals(elapsedMs(), 6400);
        hostClock.advance(100);
        assertEquals(elapsedMs(), 6500);
        assertEquals(jumps, List.of(Duration.ofMillis(6000)), "each jump is observed once");
    }

    /** A step ahead looks like a suspension: the step of 5.99 s within 0.41 s of the incident fraser-inc1-twice. */
    @Test
    public void stepAheadIsCountedAsSuspension() {
        hostClock.advance(410);
        hostClock.moveWall(5990);
        assertEquals(elapsedMs(), 6400);
        assertEquals(jumps, List.of(Duration.ofMillis(5990)));
    }

    @Test
    public void stepBackIsObservedAndNotSubtracted() {
        hostClock.advance(400);
        hostClock.moveWall(-6000);
        assertEquals(elapsedMs(), 400);
        hostClock.advance(100);
        assertEquals(elapsedMs(), 500);
        assertEquals(jumps, List.of(Duration.ofMillis(-6000)));
    }

    /** Guards against taking a pause of the process between the readings of the two clocks for a suspension. */
    @Test
    public void pauseBetweenReadingsIsNoSuspension() {
        hostClock.advance(100);
        hostClock.pauseBeforeNextWallReading(500);
        assertEquals(elapsedMs(), 600);
        hostClock.advance(100);
        assertEquals(elapsedMs(), 700);
        assertEquals(jumps, List.of());
    }

    @Test
    public void differencesWithinToleranceAreIgnored() {
        hostClock.moveWall(150);
        assertEquals(elapsedMs(), 0);
        hostClock.moveWall(-150);
        assertEquals(elapsedMs(), 0);
        assertEquals(jumps, List.of());
        hostClock.moveWall(151);
        assertEquals(elapsedMs(), 151);
        hostClock.moveWall(-151);
        assertEquals(elapsedMs(), 151);
        assertEquals(jumps, List.of(Duration.ofMillis(151), Duration.ofMillis(-151)));
    }

    /** Telemetry reads the clock, for the rate limit of events for example. */
    @Test
    public void observerMayReadTheClock() {
        List<Long> readNanos = new ArrayList<>();
        SuspendAwareClock[] observed = new SuspendAwareClock[1];
        observed[0] = SuspendAwareClock.of(hostClock, jump -> readNanos.add(observed[0].monotonicNanos()));
        hostClock.moveWall(6000);
        long nowNanos = observed[0].monotonicNanos();
        assertEquals(readNanos, List.of(nowNanos));
    }
}

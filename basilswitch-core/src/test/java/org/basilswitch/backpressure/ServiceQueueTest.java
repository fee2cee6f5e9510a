package org.basilswitch.backpressure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.time.Clock;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

final class ServiceQueueTest {
    private static final Duration TURN = Duration.ofMillis(5);
    private static final Duration TURN_PAUSE = Duration.ofMillis(1);

    private final List<String> served = new ArrayList<>();
    private final Map<String, Integer> slicesLeft = new HashMap<>();
    private SimulatedTime time;
    private long extraNanos;
    private Duration service;
    private ServiceQueue<String> queue;

    @BeforeMethod
    public void createQueue() {
        served.clear();
        slicesLeft.clear();
        time = SimulatedTime.create();
        extraNanos = 0;
        service = Duration.ofMillis(2);
        queue = ServiceQueue.create(TURN, new ServedTime(), time, this::serve);
    }

    /** The simulated time and the time that connections have been served, which passes while no task runs. */
    private final class ServedTime implements Clock {
        @Override
        public long monotonicNanos() {
            return time.monotonicNanos() + extraNanos;
        }

        @Override
        public Instant instant() {
            return time.instant();
        }
    }

    private boolean serve(String name) {
        served.add(name);
        extraNanos += service.toNanos();
        return slicesLeft.merge(name, -1, Integer::sum) > 0;
    }

    private ServiceQueue.Member<String> offer(String name, int slices) {
        slicesLeft.put(name, slices);
        ServiceQueue.Member<String> member = queue.join(name);
        queue.offer(member);
        return member;
    }

    @Test
    public void connectionIsServedAtOnceInCalm() {
        assertFalse(offer("a", 1).isWaiting());
        assertEquals(served, List.of("a"));
    }

    /** Load: requests sent ahead on many connections; the event loop's other work comes after each turn. */
    @Test
    public void turnEndsWhileConnectionsHaveMore() {
        offer("a", 10);
        offer("b", 10);
        offer("c", 10);
        assertEquals(served, List.of("a"));
        time.runFor(TURN_PAUSE);
        assertEquals(served.size(), 4, "three services of 2 ms fill a turn of 5 ms");
        time.runFor(TURN_PAUSE);
        assertEquals(served.size(), 7);
    }

    /** Load: parts that take longer than a turn each; the time that they take is none for other work. */
    @Test
    public void serviceLongerThanTurnEndsIt() {
        service = Duration.ofMillis(20);
        offer("a", 1);
        assertTrue(offer("b", 1).isWaiting());
        assertEquals(served, List.of("a"));
        time.runFor(TURN_PAUSE);
        assertEquals(served, List.of("a", "b"));
    }

    /** Load: requests sent ahead; a caller who comes later with one small request does not wait for the crowd's rest. */
    @Test
    public void smallRequestPassesConnectionsThatHaveBeenServed() {
        for (int i = 0; i < 10; i++) {
            offer("crowd " + i, 100);
        }
        for (int i = 0; i < 4; i++) {
            time.runFor(TURN_PAUSE);
        }
        assertEquals(served.size(), 13, "each was served once, and some twice");
        assertTrue(offer("ordinary", 1).isWaiting());
        time.runFor(TURN_PAUSE);
        assertTrue(served.subList(13, 16).contains("ordinary"), served.toString());
    }

    /** A connection that was idle has saved up no turns, and one that was busy long ago owes none. */
    @Test
    public void idleTimeIsNotSavedUp() {
        ServiceQueue.Member<String> busy = offer("busy", 1);
        for (int i = 0; i < 20; i++) {
            slicesLeft.put("busy", 1);
            time.runFor(Duration.ofMillis(20));
            queue.offer(busy);
        }
        served.clear();
        time.runFor(Duration.ofMillis(20));
        for (int i = 0; i < 4; i++) {
            offer("crowd " + i, 100);
        }
        slicesLeft.put("busy", 1);
        queue.offer(busy);
        for (int i = 0; i < 4; i++) {
            time.runFor(TURN_PAUSE);
        }
        assertTrue(served.subList(0, 7).contains("busy"), served.toString());
    }

    @Test
    public void closedConnectionIsNotServed() {
        offer("a", 10);
        ServiceQueue.Member<String> closed = offer("closed", 10);
        queue.leave(closed);
        time.runFor(Duration.ofMillis(50));
        assertFalse(served.contains("closed"));
    }
}

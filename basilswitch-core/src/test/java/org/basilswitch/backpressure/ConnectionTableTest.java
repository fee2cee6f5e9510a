package org.basilswitch.backpressure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

final class ConnectionTableTest {
    private static final int BUFFER_BYTES = 1000;
    private static final int MAX_CONNECTIONS = 3;

    private final List<String> shed = new ArrayList<>();
    private SimulatedTime time;
    private ConnectionTable<String> table;

    @BeforeMethod
    public void createTable() {
        shed.clear();
        time = SimulatedTime.create();
        table = create(ConnectionLimits.of(BUFFER_BYTES, MAX_CONNECTIONS));
    }

    private ConnectionTable<String> create(ConnectionLimits limits) {
        return ConnectionTable.create(limits, time, (name, reason) -> shed.add(name + " " + reason.text()));
    }

    private ConnectionTable.Entry<String> open(String name) {
        return table.open(name, "10.0.0.1").orElseThrow();
    }

    private ConnectionTable.Entry<String> openBody(String name, long bytes) {
        ConnectionTable.Entry<String> entry = open(name);
        table.onBodyStarted(entry);
        table.onBodyPart(entry, bytes);
        return entry;
    }

    /** Load: many large bodies at once; an ordinary caller's small one stays. */
    @Test
    public void largestUnfinishedBodyGivesWayWhileAllMakeProgress() {
        openBody("large", 600);
        openBody("small", 50);
        openBody("next", 400);
        assertEquals(shed, List.of("large buffers-full"));
        assertEquals(table.usedBytes(), 450);
    }

    /** Load: bodies that stop short and stay open; the one that stopped first goes, although others hold more. */
    @Test
    public void stalledBodyGivesWayBeforeLargerOnes() {
        openBody("stalled", 100);
        time.runFor(Duration.ofMillis(600));
        openBody("large", 700);
        openBody("next", 250);
        assertEquals(shed, List.of("stalled buffers-full"));
    }

    /** Load: a crowd beside a request that was read whole, whose work must not be lost. */
    @Test
    public void requestInWorkIsNotShed() {
        ConnectionTable.Entry<String> inWork = openBody("in work", 900);
        table.onRequestRead(inWork);
        time.runFor(Duration.ofMillis(600));
        ConnectionTable.Entry<String> next = open("next");
        table.onBodyStarted(next);
        assertFalse(table.onBodyPart(next, 200));
        assertEquals(shed, List.of("next buffers-full"));
        table.onRequestEnded(inWork);
        table.release(inWork, 900);
        assertEquals(table.usedBytes(), 0);
    }

    /** Load: bodies whose callers send nothing more. */
    @Test
    public void stalledRequestsEndSoonerWhileMemoryIsShort() {
        openBody("calm", 100);
        time.runFor(Duration.ofMillis(2500));
        assertTrue(table.shedStalled());
        assertEquals(shed, List.of());
        time.runFor(Duration.ofMillis(100));
        openBody("large", 600);
        assertTrue(table.shedStalled());
        assertEquals(shed, List.of("calm stalled"));
        time.runFor(Duration.ofMillis(2400));
        table.shedStalled();
        assertEquals(shed, List.of("calm stalled", "large stalled"));
        assertFalse(table.shedStalled());
    }

    /** Load: a header that arrives byte by byte has one time for all of it. */
    @Test
    public void tricklingHeaderEndsAfterTheTimeForProgress() {
        ConnectionTable.Entry<String> entry = open("trickle");
        table.onHeaderStarted(entry);
        for (int i = 0; i < 40; i++) {
            table.charge(entry, 1);
            table.shedStalled();
            time.runFor(Duration.ofSeconds(1));
        }
        assertEquals(shed, List.of("trickle stalled"));
    }

    /** Load: headers that stop short behind requests in work, whose answers must not be lost. */
    @Test
    public void unfinishedHeaderBehindRequestInWorkIsNoStall() {
        ConnectionTable.Entry<String> entry = open("pipelining");
        table.onRequestRead(entry);
        table.onHeaderStarted(entry);
        time.runFor(Duration.ofSeconds(31));
        assertTrue(table.shedStalled());
        assertEquals(shed, List.of());
        table.onRequestEnded(entry);
        time.runFor(Duration.ofSeconds(31));
        table.shedStalled();
        assertEquals(shed, List.of("pipelining stalled"));
    }

    /** Load: the same while memory is short; the caller has sent more ahead than is read. */
    @Test
    public void unfinishedHeaderBehindRequestInWorkGivesWay() {
        ConnectionTable.Entry<String> entry = open("pipelining");
        table.onRequestRead(entry);
        table.onHeaderStarted(entry);
        table.charge(entry, 900);
        openBody("next", 200);
        assertEquals(shed, List.of("pipelining buffers-full"));
    }

    /** Load: many idle connections whose decoders keep the buffers of long lines. */
    @Test
    public void idleConnectionThatHoldsMemoryGivesWay() {
        table.charge(open("idle"), 900);
        openBody("next", 200);
        assertEquals(shed, List.of("idle buffers-full"));
    }

    /** Load: a crowd for which received bytes wait; a caller whose bytes wait has made no pause. */
    @Test
    public void connectionThatWaitsForItsTurnHasNotStalled() {
        ConnectionTable.Entry<String> waiting = openBody("waiting", 100);
        table.setWaiting(waiting, true);
        time.runFor(Duration.ofSeconds(31));
        assertTrue(table.shedStalled());
        openBody("large", 700);
        openBody("next", 250);
        assertEquals(shed, List.of("large buffers-full"));
        table.setWaiting(waiting, false);
        time.runFor(Duration.ofSeconds(31));
        table.shedStalled();
        assertEquals(shed, List.of("large buffers-full", "waiting stalled", "next stalled"));
    }

    /** Load: more connections than there is room for; the ones that are of no use give way to new callers. */
    @Test
    public void newConnectionTakesThePlaceOfTheLeastUsefulOne() {
        ConnectionTable.Entry<String> idle = open("idle");
        table.onRequestRead(idle);
        table.onRequestEnded(idle);
        time.runFor(Duration.ofMillis(10));
        open("silent");
        time.runFor(Duration.ofMillis(10));
        openBody("unfinished", 10);
        time.runFor(Duration.ofMillis(10));
        open("first");
        open("second");
        table.onRequestRead(open("third"));
        assertEquals(shed, List.of("unfinished connections-full", "silent connections-full", "first connections-full"));
    }

    /** Load: all connections wait for answers, so that none can be closed without losing a request. */
    @Test
    public void newConnectionIsClosedWhileAllOthersAreInWork() {
        for (String name : List.of("a", "b", "c")) {
            table.onRequestRead(open(name));
        }
        assertEquals(table.open("d", "10.0.0.1"), Optional.empty());
        assertEquals(shed, List.of("d connections-full"));
        assertEquals(table.connections(), 3);
    }

    /** Load: one address opens connections without end. */
    @Test
    public void addressHasItsOwnLimitWhereItIsSet() {
        table = create(ConnectionLimits.of(BUFFER_BYTES, MAX_CONNECTIONS).withMaxConnectionsPerAddress(1));
        ConnectionTable.Entry<String> first = open("first");
        assertEquals(table.open("second", "10.0.0.1"), Optional.empty());
        table.open("other", "10.0.0.2").orElseThrow();
        table.close(first);
        open("third");
        assertEquals(shed, List.of("second address-full"));
    }

    /** Load: one-byte chunks; the body stays in one array that grows by doubling. */
    @Test
    public void bodyOfSmallPartsTakesAtMostTwiceItsSize() {
        BodyBuffer body = BodyBuffer.create(10_000);
        long charged = 0;
        for (int i = 0; i < 9_000; i++) {
            charged += body.growthBytes(1);
            body.extend(1)[i] = (byte) i;
        }
        assertEquals(charged, body.capacityBytes());
        assertTrue(charged <= 10_000, charged + " bytes");
        assertTrue(body.fits(1_000));
        assertFalse(body.fits(1_001));
        byte[] whole = body.take();
        assertEquals(whole.length, 9_000);
        assertEquals(whole[8_999], (byte) 8_999);
    }
}

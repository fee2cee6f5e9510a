package org.basilswitch.standin.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.basilswitch.standin.worker.TaskTable.Phase;
import org.basilswitch.standin.worker.TaskTable.TaskSpec;
import org.basilswitch.time.Clock;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests tasks under leases on a simulated clock. */
public final class TaskTableTest {
    private SimulatedTime time;
    private TaskTable tasks;

    /** Creates an empty table. */
    @BeforeMethod
    public void create() {
        time = SimulatedTime.create();
        tasks = TaskTable.create(time);
    }

    private static TaskSpec spec(String id, long workMs, long leaseMs, long progressMs) {
        return new TaskSpec(id, "depot", 4, 1000, 1, 6, 1500, workMs, leaseMs, progressMs);
    }

    private void advance(Duration duration) {
        long ticks = duration.toMillis() / TaskTable.TICK.toMillis();
        for (long i = 0; i < ticks; i++) {
            time.runFor(TaskTable.TICK);
            tasks.tick();
        }
    }

    private Phase phase(String id) {
        return tasks.find(id).orElseThrow().phase();
    }

    /** A task completes when its work is done; a throttled task takes longer. */
    @Test
    public void throttledTaskCompletesLater() {
        tasks.start(spec("fast", 2000, 60_000, 0));
        tasks.start(spec("slow", 2000, 60_000, 0));
        tasks.throttle("slow", 0.5);
        advance(Duration.ofMillis(2200));
        assertEquals(phase("fast"), Phase.COMPLETED);
        assertEquals(phase("slow"), Phase.RUNNING);
        advance(Duration.ofMillis(2000));
        assertEquals(phase("slow"), Phase.COMPLETED);
    }

    /** After a suspension, during which only the wall clock advanced, a task whose lease has passed does not go on. */
    @Test
    public void suspensionBeyondLeaseStopsTask() {
        Duration[] wallOffset = {Duration.ZERO};
        Clock host = new Clock() {
            @Override
            public Instant instant() {
                return time.instant().plus(wallOffset[0]);
            }

            @Override
            public long monotonicNanos() {
                return time.monotonicNanos();
            }
        };
        tasks = TaskTable.create(host);
        tasks.start(spec("suspended", 0, 4000, 0));
        advance(Duration.ofSeconds(1));
        wallOffset[0] = Duration.ofSeconds(9);
        advance(TaskTable.TICK);
        assertEquals(phase("suspended"), Phase.LEASE_LAPSED);
    }

    /** A task whose lease is not renewed is stopped for good; a renewed task continues. */
    @Test
    public void expiredLeaseStopsTask() {
        tasks.start(spec("kept", 0, 1000, 0));
        tasks.start(spec("lapsed", 0, 1000, 0));
        advance(Duration.ofMillis(800));
        tasks.renew("kept");
        advance(Duration.ofMillis(800));
        assertEquals(phase("kept"), Phase.RUNNING);
        assertEquals(phase("lapsed"), Phase.LEASE_LAPSED);
        tasks.renew("lapsed");
        assertEquals(phase("lapsed"), Phase.LEASE_LAPSED);
    }

    /** A checkpoint saves the progress, from which the task resumes on another worker; a stop loses it. */
    @Test
    public void checkpointKeepsProgress() {
        tasks.start(spec("a", 3000, 60_000, 0));
        tasks.start(spec("b", 3000, 60_000, 0));
        advance(Duration.ofSeconds(1));
        double checkpointMs = tasks.checkpoint("a").orElseThrow().checkpointMs();
        assertEquals(checkpointMs, 1000, 1);
        assertEquals(tasks.stop("b").orElseThrow().checkpointMs(), 0, 0);
        TaskTable elsewhere = TaskTable.create(time);
        assertEquals(
                elsewhere.start(spec("a", 3000, 60_000, (long) checkpointMs)).progressMs(), checkpointMs, 1);
    }

    /** The usage report lags by a few seconds and shows actual instead of declared usage. */
    @Test
    public void usageReportLags() {
        advance(Duration.ofSeconds(5));
        tasks.start(spec("a", 0, 60_000, 0));
        advance(Duration.ofSeconds(1));
        assertEquals(tasks.usageReport().tasks(), List.of());
        advance(Duration.ofSeconds(3));
        TaskTable.Usage usage = tasks.usageReport();
        assertEquals(usage.tasks(), List.of("a"));
        assertEquals(usage.processors(), 6, 0.001);
        assertEquals(usage.memoryBytes(), 1500);
        assertTrue(usage.ageMs() >= 2900, "age " + usage.ageMs());
    }
}

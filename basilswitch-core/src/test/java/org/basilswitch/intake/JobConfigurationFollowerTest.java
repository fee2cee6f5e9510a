package org.basilswitch.intake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.commons.rng.simple.RandomSource;
import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.event.RecordingTelemetry;
import org.basilswitch.event.Telemetry;
import org.basilswitch.job.JobConfiguration;
import org.basilswitch.job.JobQueue;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.MemoryStoreClient;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class JobConfigurationFollowerTest {
    private final SimulatedTime time = SimulatedTime.create();
    private final MemoryStore store = MemoryStore.create(time, time);
    private final AtomicInteger reads = new AtomicInteger();

    private void writeConfiguration(long version, int queues) {
        List<JobQueue> jobQueues = java.util.stream.IntStream.range(0, queues)
                .mapToObj(i ->
                        new JobQueue("queue-" + i, "host", "/q" + i + "/", "pool", 3000, 600, 0, 3, 1.6, false, null))
                .toList();
        JobConfiguration configuration = JobConfiguration.of(version, jobQueues, List.of(), List.of(), 16384, 262144);
        store.commit(Transaction.builder()
                .put("config", RecordCodec.encode(configuration))
                .build());
    }

    private JobConfigurationFollower startFollower() {
        PlatformStore client = MemoryStoreClient.create(store, time, RandomSource.SPLIT_MIX_64.create(1));
        PlatformStore counting = (PlatformStore) java.lang.reflect.Proxy.newProxyInstance(
                PlatformStore.class.getClassLoader(),
                new Class<?>[] {PlatformStore.class},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("get")) {
                        reads.incrementAndGet();
                    }
                    return method.invoke(client, arguments);
                });
        return JobConfigurationFollower.start(
                counting,
                "config",
                bytes -> RecordCodec.decode(bytes, JobConfiguration.class),
                time,
                time,
                Telemetry.none());
    }

    /** Guards against polling an unchanged large record, which fills a slow link: a configuration of many queues. */
    @Test
    public void largeRecordIsReadOnlyWhenChanged() {
        reads.set(0);
        writeConfiguration(1, 1500);
        JobConfigurationFollower follower = startFollower();
        time.runFor(Duration.ofSeconds(20));
        assertEquals(reads.get(), 1);
        assertTrue(follower.confirmedWithin(Duration.ofSeconds(1)));
        writeConfiguration(2, 1501);
        time.runFor(Duration.ofSeconds(1));
        assertEquals(follower.snapshot().map(view -> view.configuration().version()), Optional.of(2L));
        assertEquals(reads.get(), 1, "the conditional read returns the changed record");
    }

    /** An exception of the decoder must end neither the reads nor the refreshes that wait for one. */
    @Test
    public void recordIsFollowedAfterFailureOfDecoder() {
        SimulatedTime clock = SimulatedTime.create();
        MemoryStore memory = MemoryStore.create(clock, clock);
        AtomicInteger decoded = new AtomicInteger();
        memory.commit(Transaction.builder().put("config", new byte[] {1}).build());
        JobConfigurationFollower follower = JobConfigurationFollower.start(
                MemoryStoreClient.create(memory, clock, RandomSource.SPLIT_MIX_64.create(1)),
                "config",
                bytes -> {
                    if (decoded.getAndIncrement() == 0) {
                        throw new IllegalStateException("odd configuration");
                    }
                    return Optional.of(JobConfiguration.of(7, List.of(), List.of(), List.of(), 1, 1));
                },
                clock,
                clock,
                Telemetry.none());
        clock.runFor(Duration.ofSeconds(5));
        assertEquals(follower.snapshot().map(view -> view.configuration().version()), Optional.of(7L));
        assertTrue(follower.confirmedWithin(Duration.ofSeconds(1)));
    }

    /** An odd record must neither stop the calls, which need a confirmed configuration, nor fill the log. */
    @Test
    public void lastConfigurationStaysInForceWhileRecordCannotBeDecoded() {
        SimulatedTime clock = SimulatedTime.create();
        MemoryStore memory = MemoryStore.create(clock, clock);
        List<String> events = new ArrayList<>();
        memory.commit(Transaction.builder().put("config", new byte[] {0}).build());
        JobConfigurationFollower follower = JobConfigurationFollower.start(
                MemoryStoreClient.create(memory, clock, RandomSource.SPLIT_MIX_64.create(1)),
                "config",
                bytes -> Optional.of(bytes[0])
                        .filter(version -> version > 0)
                        .map(version -> JobConfiguration.of(version, List.of(), List.of(), List.of(), 1, 1)),
                clock,
                clock,
                RecordingTelemetry.to(events));
        clock.runFor(Duration.ofSeconds(5));
        assertEquals(events.size(), 1, "one event for the first record: " + events);
        assertEquals(follower.snapshot(), Optional.empty());
        for (byte version : new byte[] {7, 0, 8}) {
            memory.commit(
                    Transaction.builder().put("config", new byte[] {version}).build());
            clock.runFor(Duration.ofSeconds(5));
            assertTrue(follower.confirmedWithin(Duration.ofSeconds(1)), "record " + version);
            assertEquals(follower.snapshot().orElseThrow().configuration().version(), version == 0 ? 7 : version);
            assertEquals(
                    follower.snapshot().orElseThrow().revision(),
                    memory.range("config").entries().get(0).modRevision(),
                    "the revision that a submission compares");
        }
        assertEquals(events.size(), 4, "one event for each record: " + events);
    }

    @Test
    public void smallRecordIsReadAtEachInterval() {
        reads.set(0);
        writeConfiguration(3, 5);
        startFollower();
        time.runFor(Duration.ofSeconds(10));
        assertTrue(reads.get() > 10);
    }
}

package org.basilswitch.daemon.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.basilswitch.store.CommitResult;
import org.basilswitch.store.MemoryStore;
import org.basilswitch.store.PlatformStore;
import org.basilswitch.store.Transaction;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Compares the client over HTTP with a {@link MemoryStore} as the oracle, in random steps with fixed seeds. */
public final class EtcdStoreRandomTest {
    private static final int STEPS = 250;
    private static final int KEYS = 8;
    private static final String PREFIX = "/r/";

    /** Seeds of the random steps. */
    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    /** All results, and all changes that a watch delivers, equal the oracle's. */
    @Test(dataProvider = "seeds")
    public void answersMatchOracle(long seed) throws Exception {
        try (StoreFixture fixture = StoreFixture.start()) {
            SimulatedTime time = SimulatedTime.create();
            MemoryStore oracle = MemoryStore.create(time, time);
            EtcdStore adapter = fixture.adapter(options -> options);
            StoreFixture.Deliveries expected = new StoreFixture.Deliveries();
            StoreFixture.Deliveries delivered = new StoreFixture.Deliveries();
            oracle.watch(PREFIX, 1, expected);
            adapter.watch(PREFIX, 1, delivered);
            SplittableRandom random = new SplittableRandom(seed);
            for (int step = 0; step < STEPS; step++) {
                step(random, oracle, adapter);
            }
            Transaction last =
                    Transaction.builder().put(PREFIX + "end", new byte[0]).build();
            oracle.commit(last);
            StoreFixture.right(adapter.commit(last));
            compareDeliveries(expected, delivered);
        }
    }

    private static void compareDeliveries(StoreFixture.Deliveries expected, StoreFixture.Deliveries delivered)
            throws InterruptedException {
        String line;
        do {
            line = expected.next();
            assertEquals(delivered.next(), line);
        } while (!line.equals(PREFIX + "end="));
    }

    private static void step(SplittableRandom random, MemoryStore oracle, EtcdStore adapter) throws Exception {
        switch (random.nextInt(5)) {
            case 0 -> compareGet(key(random), oracle, adapter);
            case 1 -> compareRange(oracle, adapter);
            case 2 -> compareLeases(random, oracle, adapter);
            default -> compareCommit(transaction(random, oracle), oracle, adapter);
        }
    }

    private static String key(SplittableRandom random) {
        return PREFIX + random.nextInt(KEYS);
    }

    private static void compareGet(String key, MemoryStore oracle, EtcdStore adapter) throws Exception {
        List<String> expected =
                oracle.get(key).stream().map(EtcdStoreRandomTest::text).toList();
        List<String> actual = StoreFixture.right(adapter.get(key)).stream()
                .map(EtcdStoreRandomTest::text)
                .toList();
        assertEquals(actual, expected);
    }

    private static void compareRange(MemoryStore oracle, EtcdStore adapter) throws Exception {
        PlatformStore.Range expected = oracle.range(PREFIX);
        PlatformStore.Range actual = StoreFixture.right(adapter.range(PREFIX));
        assertEquals(actual.revision(), expected.revision());
        assertEquals(texts(actual.entries()), texts(expected.entries()));
    }

    private static void compareLeases(SplittableRandom random, MemoryStore oracle, EtcdStore adapter) throws Exception {
        Duration timeToLive = Duration.ofMinutes(10);
        long expected = oracle.grantLease(timeToLive);
        assertEquals(StoreFixture.right(adapter.grantLease(timeToLive)).longValue(), expected);
        Transaction put = Transaction.builder()
                .put(key(random), new byte[] {1, -1, 0}, expected)
                .build();
        compareCommit(put, oracle, adapter);
        if (random.nextBoolean()) {
            oracle.revokeLease(expected);
            StoreFixture.right(adapter.revokeLease(expected));
            StoreFixture.left(adapter.keepAlive(expected));
        } else {
            StoreFixture.right(adapter.keepAlive(expected));
        }
    }

    private static Transaction transaction(SplittableRandom random, MemoryStore oracle) {
        Transaction.Builder builder = Transaction.builder();
        String written = key(random);
        long current = oracle.get(written).map(PlatformStore.Entry::modRevision).orElse(Transaction.ABSENT);
        builder.compare(written, random.nextInt(4) == 0 ? current + 1 : current);
        if (random.nextInt(4) == 0) {
            builder.delete(written);
        } else {
            builder.put(written, StoreFixture.bytes("v" + random.nextInt()));
        }
        if (random.nextInt(3) == 0) {
            builder.put(PREFIX + "other" + random.nextInt(KEYS), StoreFixture.bytes("w" + random.nextInt()));
        }
        return builder.build();
    }

    private static void compareCommit(Transaction transaction, MemoryStore oracle, EtcdStore adapter) throws Exception {
        CommitResult expected = oracle.commit(transaction);
        CommitResult actual = StoreFixture.right(adapter.commit(transaction));
        assertEquals(text(actual), text(expected));
    }

    private static String text(CommitResult result) {
        return switch (result) {
            case CommitResult.Committed committed -> "committed " + committed.revision();
            case CommitResult.Conflict conflict -> {
                List<String> current = new ArrayList<>();
                conflict.current()
                        .forEach(entry ->
                                current.add(entry.map(EtcdStoreRandomTest::text).orElse("absent")));
                yield "conflict " + conflict.revision() + current;
            }
        };
    }

    private static List<String> texts(List<PlatformStore.Entry> entries) {
        return entries.stream().map(EtcdStoreRandomTest::text).toList();
    }

    private static String text(PlatformStore.Entry entry) {
        return entry.key() + "=" + StoreFixture.text(entry) + "@" + entry.createRevision() + "/" + entry.modRevision();
    }
}

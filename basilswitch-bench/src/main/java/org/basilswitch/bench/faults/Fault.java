package org.basilswitch.bench.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One fault of a run.
 *
 * @param atMs virtual time of its start, in milliseconds
 * @param kind kind of fault
 * @param first number that selects the affected entry host, worker or team (modulo their count)
 * @param second number that selects the other entry host of a cut, or the value of a change
 * @param durationMs duration, in milliseconds
 */
record Fault(long atMs, Kind kind, int first, int second, long durationMs) {
    private static final int MEAN_INTERVAL_MS = 3_000;
    private static final int MAX_DURATION_MS = 30_000;

    /** Kinds of faults, including operators' changes and load bursts that race with them. */
    enum Kind {
        CRASH,
        CRASH_SEVERAL,
        PAUSE,
        LEAVE,
        CUT_ONE_WAY,
        CUT_FROM_PEERS,
        CUT_FROM_STORE,
        CUT_FROM_ALL,
        LOSSY_LINKS,
        SLOW_LINKS,
        STORE_DOWN,
        STORE_SLOW,
        STORE_LOSES_ANSWERS,
        STORE_COMPACTS,
        WORKER_DOWN,
        WORKER_FAILS_ALL,
        WORKER_LEAVES,
        LIMIT_CHANGED,
        KEY_WITHDRAWN,
        BURST
    }

    /** Draws the faults of a run from a seed, ordered by start time. */
    static List<Fault> plan(long seed, long endMs) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ 0x5DEECE66DL);
        List<Fault> faults = new ArrayList<>();
        Kind[] kinds = Kind.values();
        long atMs = 2_000;
        while (true) {
            atMs += 1 + random.nextInt(2 * MEAN_INTERVAL_MS);
            if (atMs >= endMs) {
                faults.sort(Comparator.comparingLong(Fault::atMs));
                return faults;
            }
            Kind kind = kinds[random.nextInt(kinds.length)];
            long durationMs = 100 + random.nextInt(random.nextInt(MAX_DURATION_MS) + 1);
            faults.add(new Fault(atMs, kind, random.nextInt(1 << 16), random.nextInt(1 << 16), durationMs));
            if (random.nextInt(4) == 0) {
                atMs -= Math.min(atMs, 1 + random.nextInt(MEAN_INTERVAL_MS));
            }
        }
    }
}

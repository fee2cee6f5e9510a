package org.basilswitch.standin.store;

import java.util.EnumMap;
import java.util.Map;

/** Counts of the calls that reached the stand-in store, a waiting watch as one. */
public final class StoreCounts {
    private final Map<Kind, Long> calls = new EnumMap<>(Kind.class);
    private long refused;
    private long lostAnswers;

    /** Kinds of calls. */
    public enum Kind {
        RANGE,
        TXN,
        COMPACTION,
        LEASE_GRANT,
        LEASE_KEEP_ALIVE,
        LEASE_REVOKE,
        WATCH;

        /** Whether the call counts against the rate of writes. */
        boolean isWrite() {
            return this != RANGE && this != WATCH;
        }
    }

    /**
     * The counts at one moment.
     *
     * @param calls calls by kind, refused ones included
     * @param refused calls refused for their rate or size
     * @param lostAnswers calls whose answers were lost on purpose
     */
    public record Snapshot(Map<Kind, Long> calls, long refused, long lostAnswers) {
        /** Calls of one kind. */
        public long of(Kind kind) {
            return calls.getOrDefault(kind, 0L);
        }
    }

    void countCall(Kind kind) {
        calls.merge(kind, 1L, Long::sum);
    }

    void countRefusal() {
        refused++;
    }

    void countLostAnswer() {
        lostAnswers++;
    }

    Snapshot snapshot() {
        return new Snapshot(Map.copyOf(calls), refused, lostAnswers);
    }
}

package org.basilswitch.standin.store;

import java.util.EnumMap;
import java.util.Map;

/** Counts the calls that reached the stand-in store; an open watch counts as one call. */
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

        /** Returns whether the call counts against the write rate limit. */
        boolean isWrite() {
            return this != RANGE && this != WATCH;
        }
    }

    /**
     * The counts at one point in time.
     *
     * @param calls calls by kind, including refused ones
     * @param refused calls that ended with an error, such as an exceeded rate limit or an oversized value
     * @param lostAnswers calls that took effect but whose response the fault injection dropped
     */
    public record Snapshot(Map<Kind, Long> calls, long refused, long lostAnswers) {
        /** Returns the number of calls of one kind. */
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

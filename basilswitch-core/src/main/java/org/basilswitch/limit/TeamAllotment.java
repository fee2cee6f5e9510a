package org.basilswitch.limit;

import java.util.Optional;

import org.basilswitch.peer.MemberId;

/** One team's units at this host. Units only ever grow by what a record or a notice of a known revision shows. */
final class TeamAllotment {
    private static final long PEAK_WINDOW_NANOS = 1_000_000_000L;

    private final String team;
    private final MemberId self;
    private AllotmentRecord record = AllotmentRecord.empty();
    private long recordRevision;
    private boolean read;
    private boolean verified;
    private int units;
    private long unitsRevision;
    private int giving;
    private int running;
    private int peakRunning;
    private long peakNanos;
    private int wanted;
    private long wantedNanos;
    private Optional<MemberId> creditor = Optional.empty();
    private int owed;
    private long owedUntilNanos;

    TeamAllotment(String team, MemberId self) {
        this.team = team;
        this.self = self;
    }

    String team() {
        return team;
    }

    /** Whether the record has been read since this host became a member. */
    boolean verified() {
        return verified;
    }

    /** Forgets what was known: others may have reclaimed this host's units. */
    void reset() {
        read = false;
        verified = false;
    }

    /** Takes in the record; returns whether this host's units grew. */
    boolean onRecord(long revision, AllotmentRecord latest) {
        if (revision >= recordRevision) {
            record = latest;
            recordRevision = revision;
        }
        read = true;
        return onUnits(revision, latest.unitsOf(self));
    }

    /** The record was read after this host became a member, so its units are certain. */
    void verify() {
        verified = true;
    }

    /** Takes in this host's units as of a revision; returns whether they grew. */
    boolean onUnits(long revision, int latestUnits) {
        if (revision <= unitsRevision) {
            return false;
        }
        boolean grew = latestUnits > units;
        units = latestUnits;
        unitsRevision = revision;
        return grew;
    }

    boolean read() {
        return read;
    }

    /** Has the record read again before it is changed. */
    void reread() {
        read = false;
    }

    AllotmentRecord record() {
        return record;
    }

    long recordRevision() {
        return recordRevision;
    }

    /** Units that may be used now. */
    int allotted() {
        return verified ? Math.max(0, units - giving) : 0;
    }

    /** Takes a unit for a request. */
    boolean tryAcquire(int limit, long nowNanos) {
        int usable = Math.min(allotted() - owed(nowNanos), limit);
        if (running >= Math.min(usable, cap())) {
            wanted = Math.min(wanted + 1, limit);
            wantedNanos = nowNanos;
            return false;
        }
        startUncounted(nowNanos);
        return true;
    }

    /** This host's part of a lowered limit that the units in the record do not fit yet. */
    private int cap() {
        int sum = record.sum();
        return sum <= record.limitUnits() ? Integer.MAX_VALUE : (int) ((long) units * record.limitUnits() / sum);
    }

    void startUncounted(long nowNanos) {
        running++;
        if (running >= peakRunning || nowNanos - peakNanos > PEAK_WINDOW_NANOS) {
            peakRunning = running;
            peakNanos = nowNanos;
        }
    }

    void release() {
        running--;
    }

    int running() {
        return running;
    }

    /** Units that nothing runs on now. */
    int idle() {
        return Math.max(0, allotted() - running);
    }

    /** Units that nothing ran on lately. */
    int longIdle(long nowNanos) {
        int used = nowNanos - peakNanos > PEAK_WINDOW_NANOS ? running : Math.max(running, peakRunning);
        return Math.max(0, allotted() - used);
    }

    int wanted(long nowNanos) {
        return nowNanos - wantedNanos > PEAK_WINDOW_NANOS ? 0 : wanted;
    }

    void clearWanted() {
        wanted = 0;
    }

    /** Units to give back so that the division fits a lowered limit. */
    int excess() {
        return Math.max(0, Math.min(units - Math.min(cap(), units), idle()));
    }

    boolean aboveLimit() {
        return record.sum() > record.limitUnits();
    }

    void beginRelease(int count) {
        giving += count;
    }

    void endRelease(int count) {
        giving -= count;
    }

    /** Promises a peer units that are busy now, to be handed over as they become free. */
    void owe(MemberId to, int count, long untilNanos) {
        creditor = Optional.of(to);
        owed = count;
        owedUntilNanos = untilNanos;
    }

    int owed(long nowNanos) {
        return nowNanos < owedUntilNanos ? owed : 0;
    }

    Optional<MemberId> creditor() {
        return creditor;
    }

    void paid(int count) {
        owed = Math.max(0, owed - count);
    }
}

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
    private boolean recordRead;
    private boolean verified;
    private int units;
    private long unitsRevision;
    private int releasingUnits;
    private int running;
    private int peakRunning;
    private long peakNanos;
    private int wantedUnits;
    private long wantedNanos;
    private Optional<MemberId> reservedFor = Optional.empty();
    private int reservedUnits;
    private long reservedUntilNanos;

    TeamAllotment(String team, MemberId self) {
        this.team = team;
        this.self = self;
    }

    String team() {
        return team;
    }

    /** Whether the record has been read since this host became a member. */
    boolean isVerified() {
        return verified;
    }

    /** Forgets what was known: others may have reclaimed this host's units. */
    void reset() {
        recordRead = false;
        verified = false;
    }

    /** Takes in the record; returns whether this host's units grew. */
    boolean onRecord(long revision, AllotmentRecord latest) {
        if (revision >= recordRevision) {
            record = latest;
            recordRevision = revision;
        }
        recordRead = true;
        return onUnits(revision, latest.unitsOf(self));
    }

    /** The record was read after this host became a member, so its units are certain. */
    void markVerified() {
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

    boolean isRecordRead() {
        return recordRead;
    }

    /** Has the record read again before it is changed. */
    void requireRead() {
        recordRead = false;
    }

    AllotmentRecord record() {
        return record;
    }

    long recordRevision() {
        return recordRevision;
    }

    /** Units that may be used now. */
    int allotted() {
        return verified ? Math.max(0, units - releasingUnits) : 0;
    }

    /** Takes a unit for a request. */
    boolean tryAcquire(int limit, long nowNanos) {
        int usable = Math.min(allotted() - reservedUnits(nowNanos), limit);
        if (running >= Math.min(usable, loweredLimitPart())) {
            wantedUnits = Math.min(wantedUnits + 1, limit);
            wantedNanos = nowNanos;
            return false;
        }
        addRunning(nowNanos);
        return true;
    }

    /** This host's part of a lowered limit that the units in the record do not fit yet. */
    private int loweredLimitPart() {
        int sum = record.allottedUnits();
        return sum <= record.limitUnits() ? Integer.MAX_VALUE : (int) ((long) units * record.limitUnits() / sum);
    }

    void addRunning(long nowNanos) {
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
    int idleUnits() {
        return Math.max(0, allotted() - running);
    }

    /** Units that nothing ran on lately. */
    int unusedUnits(long nowNanos) {
        int used = nowNanos - peakNanos > PEAK_WINDOW_NANOS ? running : Math.max(running, peakRunning);
        return Math.max(0, allotted() - used);
    }

    int wantedUnits(long nowNanos) {
        return nowNanos - wantedNanos > PEAK_WINDOW_NANOS ? 0 : wantedUnits;
    }

    void clearWantedUnits() {
        wantedUnits = 0;
    }

    /** Units to give back so that the division fits a lowered limit. */
    int excessUnits() {
        return Math.max(0, Math.min(units - Math.min(loweredLimitPart(), units), idleUnits()));
    }

    boolean isAboveLimit() {
        return record.allottedUnits() > record.limitUnits();
    }

    void beginRelease(int count) {
        releasingUnits += count;
    }

    void endRelease(int count) {
        releasingUnits -= count;
    }

    /** Promises a peer units that are busy now, to be handed over as they become free. */
    void reserveForPeer(MemberId to, int count, long untilNanos) {
        reservedFor = Optional.of(to);
        reservedUnits = count;
        reservedUntilNanos = untilNanos;
    }

    int reservedUnits(long nowNanos) {
        return nowNanos < reservedUntilNanos ? reservedUnits : 0;
    }

    Optional<MemberId> reservedFor() {
        return reservedFor;
    }

    void reduceReservation(int count) {
        reservedUnits = Math.max(0, reservedUnits - count);
    }
}

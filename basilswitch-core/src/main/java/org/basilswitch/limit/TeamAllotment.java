package org.basilswitch.limit;

import java.util.Optional;

import org.basilswitch.peer.MemberId;

/**
 * One team's units at this host. Units increase only by a record or a notice with a newer revision, so that a delayed
 * message has no effect.
 */
final class TeamAllotment {
    /** Time for which the highest use and the last unmet demand count. */
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

    /** Returns whether the record has been read since this host became a member; before, no unit may be used. */
    boolean isVerified() {
        return verified;
    }

    /** Stops the use of units until the record is read again, because peers may have reclaimed them. */
    void reset() {
        recordRead = false;
        verified = false;
    }

    /** Applies a record unless it is older; returns whether this host's units have increased. */
    boolean onRecord(long revision, AllotmentRecord latest) {
        if (revision >= recordRevision) {
            record = latest;
            recordRevision = revision;
        }
        recordRead = true;
        return onUnits(revision, latest.unitsOf(self));
    }

    /** Marks the record as read since this host became a member, so that its units may be used. */
    void markVerified() {
        verified = true;
    }

    /** Applies this host's units at a newer revision; returns whether they have increased. */
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

    /** Marks the record to be read again before it is changed. */
    void requireRead() {
        recordRead = false;
    }

    AllotmentRecord record() {
        return record;
    }

    long recordRevision() {
        return recordRevision;
    }

    /** Returns the units that may be used now; units in a release under way are not. */
    int allottedUnits() {
        return verified ? Math.max(0, units - releasingUnits) : 0;
    }

    /** Takes a unit for a request; returns false and counts the unmet demand when none is available. */
    boolean tryAcquire(int limit, long nowNanos) {
        int usable = Math.min(allottedUnits() - reservedUnits(nowNanos), limit);
        if (running >= Math.min(usable, loweredLimitPart())) {
            wantedUnits = Math.min(wantedUnits + 1, limit);
            wantedNanos = nowNanos;
            return false;
        }
        addRunning(nowNanos);
        return true;
    }

    /** Returns this host's part of a lowered limit while the record exceeds it; otherwise there is no bound. */
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

    /** Returns the units on which no request runs now. */
    int idleUnits() {
        return Math.max(0, allottedUnits() - running);
    }

    /** Returns the units beyond the highest number of requests that ran within the last second. */
    int unusedUnits(long nowNanos) {
        int used = nowNanos - peakNanos > PEAK_WINDOW_NANOS ? running : Math.max(running, peakRunning);
        return Math.max(0, allottedUnits() - used);
    }

    int wantedUnits(long nowNanos) {
        return nowNanos - wantedNanos > PEAK_WINDOW_NANOS ? 0 : wantedUnits;
    }

    void clearWantedUnits() {
        wantedUnits = 0;
    }

    /** Returns the idle units to release so that the division fits a lowered limit. */
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

    /** Reserves units for a peer; they are transferred as they become idle, until the reservation ends. */
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

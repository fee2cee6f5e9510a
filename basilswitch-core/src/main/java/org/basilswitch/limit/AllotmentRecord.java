package org.basilswitch.limit;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.basilswitch.configuration.RecordCodec;
import org.basilswitch.peer.MemberId;

/**
 * The division of a team's upper limit among the entry hosts, kept as one record in the store.
 *
 * @param limitUnits the limit that is divided
 * @param limitRevision configuration revision that the limit was taken from
 * @param units units by member identifier; their sum exceeds the limit only after the limit has been lowered
 */
record AllotmentRecord(int limitUnits, long limitRevision, Map<String, Integer> units) {

    /** Copies the map. */
    AllotmentRecord {
        units = new TreeMap<>(units);
    }

    static AllotmentRecord empty() {
        return new AllotmentRecord(0, 0, Map.of());
    }

    static Optional<AllotmentRecord> decode(byte[] value) {
        return RecordCodec.decode(value, AllotmentRecord.class);
    }

    byte[] encode() {
        return RecordCodec.encode(this);
    }

    int unitsOf(MemberId id) {
        return units.getOrDefault(id.value(), 0);
    }

    int allottedUnits() {
        int sum = 0;
        for (int unit : units.values()) {
            sum += unit;
        }
        return sum;
    }

    int freeUnits() {
        return limitUnits - allottedUnits();
    }

    AllotmentRecord withLimit(int limit, long revision) {
        return new AllotmentRecord(limit, revision, units);
    }

    AllotmentRecord withUnitsAdded(MemberId id, int change) {
        Map<String, Integer> next = new TreeMap<>(units);
        next.merge(id.value(), change, Integer::sum);
        next.values().removeIf(value -> value <= 0);
        return new AllotmentRecord(limitUnits, limitRevision, next);
    }
}

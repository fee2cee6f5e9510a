package org.basilswitch.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.basilswitch.membership.MembersRecord;
import org.basilswitch.membership.Membership;
import org.basilswitch.peer.MemberId;
import org.basilswitch.time.Clock;

/**
 * Tracks departed members and decides when other hosts may use their units. The units are reclaimed once the removal
 * is in force, so that the departed process starts no more work, and the longest work that it may have started has
 * passed its deadline since.
 */
final class DepartedMembers {
    private final Membership membership;
    private final Clock clock;
    private final Supplier<Duration> reclaimDelay;
    private final Map<String, Long> departedNanos = new HashMap<>();

    DepartedMembers(Membership membership, Clock clock, Supplier<Duration> reclaimDelay) {
        this.membership = membership;
        this.clock = clock;
        this.reclaimDelay = reclaimDelay;
    }

    /** Records the departure of the members in a record that are no longer in the members record in force. */
    void recordDepartures(AllotmentRecord record) {
        MembersRecord view = membership.view();
        departedNanos.keySet().removeIf(id -> view.contains(new MemberId(id)));
        boolean inForce = membership.leases().isInForce(membership.viewRevision());
        if (!inForce) {
            return;
        }
        for (String id : record.units().keySet()) {
            if (!view.contains(new MemberId(id))) {
                departedNanos.putIfAbsent(id, clock.monotonicNanos());
            }
        }
    }

    private Duration remainingDelay(String id) {
        Long departed = departedNanos.get(id);
        if (departed == null) {
            return reclaimDelay.get();
        }
        long elapsedNanos = clock.monotonicNanos() - departed;
        return Duration.ofNanos(Math.max(0, reclaimDelay.get().toNanos() - elapsedNanos));
    }

    /** Returns the record without the units that may be reclaimed now. */
    AllotmentRecord withoutReclaimable(AllotmentRecord record) {
        AllotmentRecord next = record;
        for (Map.Entry<String, Integer> entry : record.units().entrySet()) {
            MemberId id = new MemberId(entry.getKey());
            boolean departed = departedNanos.containsKey(id.value());
            if (departed
                    && !membership.view().contains(id)
                    && remainingDelay(id.value()).isZero()) {
                next = next.withUnitsAdded(id, -entry.getValue());
            }
        }
        return next;
    }
}

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
 * When the units of a run of a process that is no longer a member may be used by others: its removal is in force, so
 * that it starts nothing, and since then the longest work that it may have started has passed its deadline.
 */
final class DepartedMembers {
    private final Membership membership;
    private final Clock clock;
    private final Supplier<Duration> longestWork;
    private final Map<String, Long> departedNanos = new HashMap<>();

    DepartedMembers(Membership membership, Clock clock, Supplier<Duration> longestWork) {
        this.membership = membership;
        this.clock = clock;
        this.longestWork = longestWork;
    }

    /** Notes the members that a record names and that have departed. */
    void note(AllotmentRecord record) {
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

    private Duration left(String id) {
        Long since = departedNanos.get(id);
        if (since == null) {
            return longestWork.get();
        }
        long passed = clock.monotonicNanos() - since;
        return Duration.ofNanos(Math.max(0, longestWork.get().toNanos() - passed));
    }

    /** The record without the units that may be reclaimed now. */
    AllotmentRecord reclaim(AllotmentRecord record) {
        AllotmentRecord next = record;
        for (Map.Entry<String, Integer> entry : record.units().entrySet()) {
            MemberId id = new MemberId(entry.getKey());
            boolean departed = departedNanos.containsKey(id.value());
            if (departed && !membership.view().contains(id) && left(id.value()).isZero()) {
                next = next.adding(id, -entry.getValue());
            }
        }
        return next;
    }
}

package org.basilswitch.evacuation;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * The availability zones that take no new work, as of one read.
 *
 * @param zones evacuated zones
 * @param readSentNanos monotonic time at which the read was sent; empty before the first one
 */
record EvacuatedZones(Set<String> zones, Optional<Long> readSentNanos) {
    /** Makes an immutable copy of the zones. */
    EvacuatedZones {
        zones = Set.copyOf(zones);
    }

    /** Returns the state before the first read. */
    static EvacuatedZones unknown() {
        return new EvacuatedZones(Set.of(), Optional.empty());
    }

    /** Returns the state as of a read that was sent at this time. */
    static EvacuatedZones readAt(long sentNanos, Set<String> zones) {
        return new EvacuatedZones(zones, Optional.of(sentNanos));
    }

    /** Returns whether the read was sent within the given time before now. */
    boolean isConfirmedWithin(Duration age, long nowNanos) {
        return readSentNanos
                .filter(sentNanos -> nowNanos - sentNanos <= age.toNanos())
                .isPresent();
    }

    /** Returns the zones that are evacuated here and not in another state, in order. */
    Set<String> without(EvacuatedZones other) {
        Set<String> difference = new TreeSet<>(zones);
        difference.removeAll(other.zones);
        return difference;
    }

    /** Returns whether each of some zones is evacuated, of which there is at least one. */
    boolean containsAll(Set<String> others) {
        return !others.isEmpty() && zones.containsAll(others);
    }
}

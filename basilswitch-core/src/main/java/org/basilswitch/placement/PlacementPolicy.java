package org.basilswitch.placement;

/** How a backend server is chosen among those that may take a request. */
public sealed interface PlacementPolicy {

    /** Any server with a free slot by this host's own view, at random. */
    record UniformRandom() implements PlacementPolicy {}

    /** The servers in turn. */
    record RoundRobin() implements PlacementPolicy {}

    /** The server with the fewest requests in flight from this host, by size. */
    record LeastInFlight() implements PlacementPolicy {}

    /**
     * The least loaded of some servers probed at random in this host's availability zone, and beyond it when none there
     * has a free slot (Shen and Xu, Locality-Aware and Churn-Resilient Load Balancing Algorithms).
     *
     * @param ways servers probed
     */
    record LocalProbing(int ways) implements PlacementPolicy {}

    /**
     * The slots that the division of the pool gives to this host, then local probing of the others while the pool has
     * room.
     *
     * @param ways servers probed beyond this host's slots
     */
    record DividedSlots(int ways) implements PlacementPolicy {}

    /** The strategy used unless settings name another. */
    static PlacementPolicy defaultPolicy() {
        return new DividedSlots(2);
    }
}

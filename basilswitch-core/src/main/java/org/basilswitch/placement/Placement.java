package org.basilswitch.placement;

/** How a backend server is chosen among those that may take a request. */
public sealed interface Placement {

    /** Any server with a free slot by this host's own view, at random. */
    record UniformRandom() implements Placement {}

    /** The servers in turn. */
    record RoundRobin() implements Placement {}

    /** The server with the fewest requests in flight from this host, by size. */
    record LeastInFlight() implements Placement {}

    /**
     * The least loaded of some servers probed at random in this host's availability zone, and beyond it when none there
     * has a free slot (Shen and Xu, Locality-Aware and Churn-Resilient Load Balancing Algorithms).
     *
     * @param ways servers probed
     */
    record LocalProbing(int ways) implements Placement {}

    /**
     * The slots that the division of the pool gives to this host, then local probing of the others while the pool has
     * room.
     *
     * @param ways servers probed beyond this host's slots
     */
    record DividedSlots(int ways) implements Placement {}

    /** The strategy used unless settings name another. */
    static Placement standard() {
        return new DividedSlots(2);
    }
}

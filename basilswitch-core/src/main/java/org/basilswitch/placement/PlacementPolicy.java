package org.basilswitch.placement;

/** Selects a backend server among those that may take a request. */
public sealed interface PlacementPolicy {

    /** Selects at random among the servers with a free slot in this host's view. */
    record UniformRandom() implements PlacementPolicy {}

    /** Selects the servers in turn. */
    record RoundRobin() implements PlacementPolicy {}

    /** Selects the server with the fewest requests in flight from this host, relative to its size. */
    record LeastInFlight() implements PlacementPolicy {}

    /**
     * Selects the least loaded of some servers sampled at random in this host's availability zone, or in all zones when
     * none there has a free slot (Shen and Xu, Locality-Aware and Churn-Resilient Load Balancing Algorithms).
     *
     * @param sampleSize number of servers to sample
     */
    record LocalProbing(int sampleSize) implements PlacementPolicy {}

    /**
     * Selects servers by the slots that the division of the pool assigns to this host, then by local probing of the
     * other slots while the pool has spare capacity.
     *
     * @param sampleSize number of servers to sample beyond this host's slots
     */
    record DividedSlots(int sampleSize) implements PlacementPolicy {}

    /** Returns the policy used unless settings name another. */
    static PlacementPolicy defaultPolicy() {
        return new DividedSlots(2);
    }
}

package org.basilswitch.overload;

/**
 * Room of a pool for work that ends.
 *
 * @param cores cores of its usable servers that long-running work does not use
 * @param freeCores those of them that no work item uses
 * @param arrivingCores cores of hosts that are on their way to the pool
 */
public record PoolRoom(double cores, double freeCores, double arrivingCores) {
    /** A pool without servers. */
    public static final PoolRoom NONE = new PoolRoom(0, 0, 0);

    /** Returns the room of two groups of servers. */
    public PoolRoom plus(PoolRoom other) {
        return new PoolRoom(cores + other.cores, freeCores + other.freeCores, arrivingCores + other.arrivingCores);
    }
}

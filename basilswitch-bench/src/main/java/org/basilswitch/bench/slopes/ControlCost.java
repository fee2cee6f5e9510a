package org.basilswitch.bench.slopes;

/**
 * Control cost of one entry host, as the mean over the entry hosts of a site.
 *
 * @param corePercent processor time, in percent of a core
 * @param heapMegabytes live heap that each entry host adds, in MB
 * @param peerBytesPerSecond encoded bytes sent to peers per second
 * @param storeCallsPerSecond calls to the platform's store per second
 * @param inForceMs longest time from the commit of a change until it was in force, in milliseconds
 */
public record ControlCost(
        double corePercent,
        double heapMegabytes,
        double peerBytesPerSecond,
        double storeCallsPerSecond,
        double inForceMs) {}

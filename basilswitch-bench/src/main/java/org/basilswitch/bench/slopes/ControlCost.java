package org.basilswitch.bench.slopes;

/**
 * Control cost of one entry host, the mean over the site's entry hosts.
 *
 * @param corePercent processor time, in percent of a core
 * @param heapMegabytes live heap that one more entry host adds, in MB
 * @param peerBytesPerSecond bytes sent to peers, after encoding
 * @param storeCallsPerSecond calls of the platform's store
 * @param inForceMs longest time from a change's commit until it was in force, in milliseconds
 */
public record ControlCost(
        double corePercent,
        double heapMegabytes,
        double peerBytesPerSecond,
        double storeCallsPerSecond,
        double inForceMs) {}

package org.basilswitch.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.configuration.Host;

/**
 * The number of hosts that a pool needs, and the buffer that covers failures and the largest failure domain.
 *
 * @param demandHosts hosts that carry the smoothed demand at the target utilisation
 * @param failureHosts hosts that independent failures take away, at a small probability of more
 * @param domainHosts hosts of the pool in its largest rack
 */
public record BufferSize(int demandHosts, int failureHosts, int domainHosts) {
    private static final double SHORTAGE_PROBABILITY = 0.001;

    /**
     * Works out a pool's need.
     *
     * @param hosts hosts of the pool
     * @param demandSlots smoothed demand in slots
     * @param targetUtilisation part of the slots that the demand should fill
     * @param failuresPerHostDay independent failures of a host per day
     * @param repairHours mean time until a failed host is back, in hours
     */
    public static BufferSize of(
            List<Host> hosts,
            double demandSlots,
            double targetUtilisation,
            double failuresPerHostDay,
            double repairHours) {
        int slotsPerHost = hosts.stream().mapToInt(Host::slots).max().orElse(1);
        int demandHosts = (int) Math.ceil(demandSlots / (slotsPerHost * targetUtilisation));
        double meanFailedHosts = hosts.size() * failuresPerHostDay * repairHours / 24;
        Map<String, Integer> byRack = new HashMap<>();
        hosts.forEach(host -> byRack.merge(host.rack(), 1, Integer::sum));
        int largestRackHosts =
                byRack.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return new BufferSize(
                demandHosts, poissonQuantile(meanFailedHosts, 1 - SHORTAGE_PROBABILITY), largestRackHosts);
    }

    /** Hosts that the spare pool has to hold for this pool: the larger of the two kinds of failure. */
    public int bufferHosts() {
        return Math.max(failureHosts, domainHosts);
    }

    /** The least count that a Poisson variable with this mean exceeds with at most the remaining probability. */
    static int poissonQuantile(double mean, double probability) {
        double term = Math.exp(-mean);
        double cumulative = term;
        int count = 0;
        while (cumulative < probability) {
            count++;
            term *= mean / count;
            cumulative += term;
        }
        return count;
    }
}

package org.basilswitch.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.configuration.Host;

/**
 * The number of hosts that a pool needs for its demand, and the spare hosts that cover failures.
 *
 * @param demandHosts hosts needed for the smoothed demand at the target utilisation
 * @param failureHosts quantile of the number of hosts that are out of service due to independent failures
 * @param domainHosts hosts of the pool in its largest failure domain, a rack
 */
public record BufferSize(int demandHosts, int failureHosts, int domainHosts) {
    /** Accepted probability that independent failures exceed the buffer. */
    private static final double SHORTAGE_PROBABILITY = 0.001;

    /**
     * Computes the size for one pool.
     *
     * @param hosts hosts of the pool
     * @param demandSlots smoothed demand, slots
     * @param targetUtilisation ratio of the slots that the demand should use
     * @param failuresPerHostDay independent failures of a host per day
     * @param repairHours mean time to repair, hours
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

    /** Returns the spare hosts for this pool, enough for independent failures or the loss of the largest rack. */
    public int bufferHosts() {
        return Math.max(failureHosts, domainHosts);
    }

    /** Returns the quantile of a Poisson distribution: the least count with at least this cumulative probability. */
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

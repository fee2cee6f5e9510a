package org.basilswitch.locality;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.basilswitch.job.Resources;

/** When places become free on a set of backend servers, such as those of one rack. */
public final class RackOutlook {
    private final List<ServerOutlook> servers;

    private RackOutlook(List<ServerOutlook> servers) {
        this.servers = servers;
    }

    /** Creates an outlook over servers, which several outlooks may share. */
    public static RackOutlook of(List<ServerOutlook> servers) {
        return new RackOutlook(List.copyOf(servers));
    }

    /** Returns the expected time to a free place for an amount; infinite if there will be none. */
    public double freeInMs(Resources amount) {
        double firstMs = Double.POSITIVE_INFINITY;
        for (ServerOutlook server : servers) {
            firstMs = Math.min(firstMs, server.freeInMs(amount));
        }
        return firstMs;
    }

    /** Takes the next free place for a run, so that those who wait after it expect a later one. */
    public void reserve(Resources amount, double durationMs) {
        Optional<ServerOutlook> first = Optional.empty();
        double firstMs = Double.POSITIVE_INFINITY;
        for (ServerOutlook server : servers) {
            double inMs = server.freeInMs(amount);
            if (inMs < firstMs) {
                firstMs = inMs;
                first = Optional.of(server);
            }
        }
        if (first.isPresent()) {
            first.get().reserve(amount, firstMs, durationMs);
        }
    }

    /**
     * Returns the expected time at which all members of a group have places at once; infinite if they never will.
     *
     * @param amount amount that each member uses
     * @param count number of members
     * @param maxPerServer maximum number of members on one server; 0 for no limit
     */
    public double groupFreeInMs(Resources amount, int count, int maxPerServer) {
        List<Double> timesMs = new ArrayList<>(List.of(0.0));
        servers.forEach(server -> server.addFreeTimes(timesMs));
        timesMs.sort(null);
        int low = 0;
        int high = timesMs.size();
        // Free capacity grows as runs end, so that the first sufficient moment is found by bisection.
        while (low < high) {
            int middle = (low + high) / 2;
            if (holds(amount, count, maxPerServer, timesMs.get(middle))) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low == timesMs.size() ? Double.POSITIVE_INFINITY : timesMs.get(low);
    }

    private boolean holds(Resources amount, int count, int maxPerServer, double inMs) {
        int limit = maxPerServer == 0 ? count : Math.min(count, maxPerServer);
        int places = 0;
        for (ServerOutlook server : servers) {
            places += server.countFree(amount, inMs, limit);
            if (places >= count) {
                return true;
            }
        }
        return false;
    }
}

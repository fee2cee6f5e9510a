package org.basilswitch.bench.workload;

/** Rates at which callers submit requests, as a function of time. */
public interface LoadPlan {

    /**
     * Returns the rate of a team on a service's queue, in requests per second.
     *
     * @param service index of the service
     * @param team index of the team
     * @param seconds time since the start, in seconds
     */
    double ratePerSecond(int service, int team, double seconds);

    /** Returns an upper bound of {@link #ratePerSecond}, used to thin the arrivals. */
    double maxRatePerSecond();
}

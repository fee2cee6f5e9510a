package org.basilswitch.bench.workload;

/** Rates at which callers submit requests. */
public interface LoadPlan {

    /** Requests a second of a team on a service's queue at a time since the start, in seconds. */
    double ratePerSecond(int service, int team, double seconds);

    /** The highest rate that {@link #ratePerSecond} returns. */
    double maxRatePerSecond();
}

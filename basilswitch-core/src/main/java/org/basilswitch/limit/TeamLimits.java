package org.basilswitch.limit;

/** This entry host's allotments of the teams' upper limits. */
public interface TeamLimits {

    /**
     * Takes one unit for a request about to start.
     *
     * @param team the team's name
     * @return whether a unit was available; if not, more units are requested
     */
    boolean tryAcquire(String team);

    /** Frees a unit after its request has ended at the backend server. */
    void release(String team);

    /** Registers a callback that receives a team's name when units of that team may have become available. */
    void onAvailable(java.util.function.Consumer<String> listener);

    /** Returns the units that this host may use for a team, including those in use. */
    int allottedUnits(String team);
}

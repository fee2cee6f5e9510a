package org.basilswitch.limit;

/** This entry host's allotments of the teams' upper limits. */
public interface TeamLimits {

    /**
     * Takes one unit for a request about to start.
     *
     * @param team the team's name
     * @return whether a unit was free; when it was not, the wish for more is remembered and asked for
     */
    boolean tryAcquire(String team);

    /** Returns a unit after the request has ended at the backend server. */
    void release(String team);

    /** Registers a callback that is run with a team's name when units of it become free. */
    void onAvailable(java.util.function.Consumer<String> listener);

    /** Units that this host may use for a team, busy ones included. */
    int allotted(String team);
}

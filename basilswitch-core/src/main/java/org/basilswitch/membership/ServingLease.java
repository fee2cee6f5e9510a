package org.basilswitch.membership;

import java.time.Duration;

/** Whether this entry host may start work now, by its own monotonic clock. */
public interface ServingLease {

    /** Whether a majority of the members currently promises that nothing newer than this host's view is in force. */
    boolean mayStartWork();

    /** Time left before {@link #mayStart} turns false without renewed promises; zero when it already is. */
    Duration remaining();
}

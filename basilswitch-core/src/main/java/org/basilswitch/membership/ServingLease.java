package org.basilswitch.membership;

import java.time.Duration;

/** This entry host's lease to start work, measured with its own monotonic clock. */
public interface ServingLease {

    /** Returns whether a majority of the members promises that no change newer than this host's view is in force. */
    boolean mayStartWork();

    /** Returns the time until {@link #mayStartWork} turns false unless promises are renewed; zero when it is false. */
    Duration remaining();
}

package org.basilswitch.standin.hosts;

import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;

/**
 * The list as the platform publishes it.
 *
 * @param measuredAt when the platform saw the hosts like this
 * @param live names of live hosts
 * @param leaving names of hosts about to leave
 */
public record HostList(String measuredAt, Set<String> live, Set<String> leaving) {

    static HostList of(Instant measuredAt, Set<String> live, Set<String> leaving) {
        return new HostList(measuredAt.toString(), new TreeSet<>(live), new TreeSet<>(leaving));
    }
}

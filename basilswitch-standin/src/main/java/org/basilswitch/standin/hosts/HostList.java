package org.basilswitch.standin.hosts;

import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;

/**
 * The host list as the platform publishes it.
 *
 * @param measuredAt time at which the platform measured the hosts' states, in ISO 8601
 * @param live names of the live hosts
 * @param leaving names of the hosts that are about to leave
 */
public record HostList(String measuredAt, Set<String> live, Set<String> leaving) {

    static HostList of(Instant measuredAt, Set<String> live, Set<String> leaving) {
        return new HostList(measuredAt.toString(), new TreeSet<>(live), new TreeSet<>(leaving));
    }
}

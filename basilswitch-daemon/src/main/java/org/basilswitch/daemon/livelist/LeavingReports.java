package org.basilswitch.daemon.livelist;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.basilswitch.placement.LiveHosts;
import org.basilswitch.time.Clock;

/**
 * Presence of hosts, where a host's own report that it is leaving overrides the platform's list.
 *
 * <p>The list lags behind. A host that has refused a request because it is leaving therefore counts as leaving for a
 * limited time, which each further report extends.
 */
public final class LeavingReports implements LiveHosts {
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(10);

    private final LiveHosts list;
    private final Clock clock;
    private final Map<String, Long> reportedNanosByHost = new HashMap<>();

    private LeavingReports(LiveHosts list, Clock clock) {
        this.list = list;
        this.clock = clock;
    }

    /** Creates an instance without reports, which falls back to the given list. */
    public static LeavingReports create(LiveHosts list, Clock clock) {
        return new LeavingReports(list, clock);
    }

    /** Records that a host has refused a request because it is leaving. */
    public void reportLeaving(String host) {
        reportedNanosByHost.put(host, clock.monotonicNanos());
    }

    @Override
    public Presence presence(String host) {
        Long saidNanos = reportedNanosByHost.get(host);
        if (saidNanos == null) {
            return list.presence(host);
        }
        if (clock.monotonicNanos() - saidNanos <= REPORT_VALIDITY.toNanos()) {
            return Presence.LEAVING;
        }
        reportedNanosByHost.remove(host);
        return list.presence(host);
    }
}

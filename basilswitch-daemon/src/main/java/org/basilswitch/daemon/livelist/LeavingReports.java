package org.basilswitch.daemon.livelist;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.basilswitch.placement.LiveHosts;
import org.basilswitch.time.Clock;

/**
 * Hosts that refused a request because they are leaving, which takes precedence over the lagging list: a host that has said
 * that it is leaving counts as leaving for some time, and longer when it says so again.
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

    /** Goes before a list. */
    public static LeavingReports create(LiveHosts list, Clock clock) {
        return new LeavingReports(list, clock);
    }

    /** Notes that a host refused a request because it is leaving. */
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

package org.basilswitch.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;

/**
 * Detects active hosts that are missing from the live-host list, which lags behind.
 *
 * <p>A host is suspected when it is missing from several consecutive lists, each measured later than the one before.
 */
final class DownDetector {
    private final int missingListsThreshold;
    private final Map<String, Integer> missingListsByHost = new HashMap<>();
    private Instant lastMeasuredAt = Instant.MIN;

    DownDetector(int missingLists) {
        this.missingListsThreshold = missingLists;
    }

    /** Evaluates the latest list and returns the hosts suspected to be down. */
    List<Host> findSuspects(List<Host> hosts, WorkerPlatform.LiveHostList list) {
        boolean newer = list.measuredAt().isAfter(lastMeasuredAt);
        lastMeasuredAt = newer ? list.measuredAt() : lastMeasuredAt;
        List<Host> suspects = new ArrayList<>();
        for (Host host : hosts) {
            if (host.state() != HostState.ACTIVE || list.live().contains(host.name())) {
                missingListsByHost.remove(host.name());
                continue;
            }
            int count = newer
                    ? missingListsByHost.merge(host.name(), 1, Integer::sum)
                    : missingListsByHost.getOrDefault(host.name(), 0);
            if (count >= missingListsThreshold) {
                suspects.add(host);
            }
        }
        return suspects;
    }
}

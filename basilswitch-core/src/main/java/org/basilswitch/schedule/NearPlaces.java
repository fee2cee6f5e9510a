package org.basilswitch.schedule;

import java.util.List;

import org.basilswitch.job.Resources;
import org.basilswitch.locality.DelayScheduling;
import org.basilswitch.locality.RackOutlook;

/** Places near the data or group of a step in one placement round. */
final class NearPlaces {
    private final LocalityPolicy policy;
    private final List<TrackedServer> servers;
    private final RackOutlook outlook;
    private final DelayScheduling.Choice choice;
    private final long nowNanos;

    /**
     * Creates the places on servers.
     *
     * @param choice choice of an item of the step that has not waited
     */
    NearPlaces(
            LocalityPolicy policy,
            List<TrackedServer> servers,
            RackOutlook outlook,
            DelayScheduling.Choice choice,
            long nowNanos) {
        this.policy = policy;
        this.servers = servers;
        this.outlook = outlook;
        this.choice = choice;
        this.nowNanos = nowNanos;
    }

    /** Decides whether an item waits for a place here; not while one is free, nor after a failure or beside a copy. */
    boolean waits(WorkItem item) {
        Resources amount = item.spec().reserved();
        if (item.failures() > 0 || !item.copies().isEmpty() || isFree(amount)) {
            return false;
        }
        // Without a latest wait that pays, the expected time to a place does not matter.
        if (policy.after(choice, item, 0, nowNanos).remainingMs() <= 0) {
            return false;
        }
        double inMs = outlook.freeInMs(amount);
        if (!policy.after(choice, item, inMs, nowNanos).waits()) {
            return false;
        }
        outlook.reserve(amount, policy.expectedMs(item));
        policy.onWait(item, inMs, nowNanos);
        return true;
    }

    private boolean isFree(Resources amount) {
        for (TrackedServer server : servers) {
            if (amount.fitsInto(server.free())) {
                return true;
            }
        }
        return false;
    }
}

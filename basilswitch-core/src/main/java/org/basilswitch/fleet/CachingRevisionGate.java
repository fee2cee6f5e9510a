package org.basilswitch.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.basilswitch.membership.InForceMonitor;

/** A revision gate that remembers the newest revision in force and sends one query at a time per revision. */
public final class CachingRevisionGate implements RevisionGate {
    private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(10);

    private final InForceMonitor inForce;
    private final Set<Long> pendingRevisions = new HashSet<>();
    private long newestInForce;

    private CachingRevisionGate(InForceMonitor inForce) {
        this.inForce = inForce;
    }

    /** Creates a gate that queries the members' acknowledgements through a monitor. */
    public static CachingRevisionGate create(InForceMonitor inForce) {
        return new CachingRevisionGate(inForce);
    }

    @Override
    public boolean isInForce(long revision) {
        if (revision <= newestInForce) {
            return true;
        }
        if (pendingRevisions.add(revision)) {
            inForce.await(revision, IN_FORCE_TIMEOUT).thenAccept(state -> {
                pendingRevisions.remove(revision);
                if (state.inForce()) {
                    newestInForce = Math.max(newestInForce, revision);
                }
            });
        }
        return revision <= newestInForce;
    }
}

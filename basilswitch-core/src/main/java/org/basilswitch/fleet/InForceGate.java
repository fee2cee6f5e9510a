package org.basilswitch.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

import org.basilswitch.membership.InForce;

/** A revision gate that asks the members' acknowledgements once for each revision. */
public final class InForceGate implements RevisionGate {
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(10);

    private final InForce inForce;
    private final Set<Long> asked = new HashSet<>();
    private long newestInForce;

    private InForceGate(InForce inForce) {
        this.inForce = inForce;
    }

    /** Creates a gate. */
    public static InForceGate create(InForce inForce) {
        return new InForceGate(inForce);
    }

    @Override
    public boolean inForce(long revision) {
        if (revision <= newestInForce) {
            return true;
        }
        if (asked.add(revision)) {
            inForce.await(revision, ASK_TIMEOUT).thenAccept(state -> {
                asked.remove(revision);
                if (state.inForce()) {
                    newestInForce = Math.max(newestInForce, revision);
                }
            });
        }
        return revision <= newestInForce;
    }
}

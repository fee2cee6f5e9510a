package org.basilswitch.fleet;

import java.util.Map;
import java.util.Set;

import org.basilswitch.configuration.HostState;

import static org.basilswitch.configuration.HostState.ACTIVE;
import static org.basilswitch.configuration.HostState.DOWN;
import static org.basilswitch.configuration.HostState.DRAINING;
import static org.basilswitch.configuration.HostState.FAULTY;
import static org.basilswitch.configuration.HostState.REBOOTING;
import static org.basilswitch.configuration.HostState.RETURNING;

/** The permitted transitions between host states. */
public final class HostTransitions {
    private static final Map<HostState, Set<HostState>> ALLOWED = Map.of(
            ACTIVE, Set.of(DRAINING, DOWN),
            DRAINING, Set.of(ACTIVE, REBOOTING, DOWN),
            REBOOTING, Set.of(RETURNING, FAULTY),
            RETURNING, Set.of(ACTIVE, DOWN, FAULTY),
            DOWN, Set.of(RETURNING, FAULTY),
            FAULTY, Set.of(RETURNING));

    private HostTransitions() {}

    /** Returns whether a host may change from one state to another. */
    public static boolean isAllowed(HostState from, HostState to) {
        return ALLOWED.get(from).contains(to);
    }

    /** Returns whether a transition is a planned removal from service, which the availability budget limits. */
    public static boolean isLimitedByBudget(HostState from, HostState to) {
        return from == ACTIVE && to == DRAINING;
    }
}

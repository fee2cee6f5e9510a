package org.basilswitch.administration;

import java.util.Optional;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.Pool;
import org.basilswitch.configuration.SiteConfiguration;
import org.basilswitch.fleet.HostTransitions;
import org.basilswitch.fleet.PoolHostCounts;

import static org.basilswitch.configuration.HostState.ACTIVE;
import static org.basilswitch.configuration.HostState.DRAINING;
import static org.basilswitch.configuration.HostState.RETURNING;

/** Validates operators' changes of hosts. */
final class HostChangeValidator {
    private HostChangeValidator() {}

    /**
     * Checks a change of a host; returns empty when it is allowed.
     *
     * @param view view that is complete up to the revision of the pool's guard
     */
    static Optional<ChangeRefusal> checkChange(SiteConfiguration view, Host before, Host after) {
        if (!before.pool().equals(after.pool()) && before.state() != DRAINING) {
            return refused(ChangeRefusal.Code.HOST_NOT_DRAINED, before.name() + " is " + before.state());
        }
        if (before.state() != after.state() && !HostTransitions.isAllowed(before.state(), after.state())) {
            return refused(
                    ChangeRefusal.Code.STEP_NOT_ALLOWED,
                    before.name() + " is " + before.state() + " and can't become " + after.state());
        }
        return HostTransitions.isLimitedByBudget(before.state(), after.state())
                ? checkBudget(view, before.pool())
                : Optional.empty();
    }

    /** Checks the deletion of a host, which must be out of service; returns empty when it is allowed. */
    static Optional<ChangeRefusal> checkDelete(Host host) {
        return host.state() == ACTIVE || host.state() == RETURNING
                ? refused(ChangeRefusal.Code.HOST_NOT_DRAINED, host.name() + " is " + host.state())
                : Optional.empty();
    }

    private static Optional<ChangeRefusal> checkBudget(SiteConfiguration view, String poolName) {
        int minActive = Optional.ofNullable(view.pools().get(poolName))
                .map(Pool::minAvailableHosts)
                .orElse(0);
        int active = PoolHostCounts.of(view, poolName).active();
        return active - 1 < minActive
                ? refused(
                        ChangeRefusal.Code.BUDGET_EXHAUSTED,
                        "pool " + poolName + " has " + active + " active hosts and has to keep " + minActive)
                : Optional.empty();
    }

    private static Optional<ChangeRefusal> refused(ChangeRefusal.Code code, String detail) {
        return Optional.of(new ChangeRefusal(code, detail));
    }
}

package org.basilswitch.fleet;

import java.util.Optional;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.SiteConfiguration;

/** A requested change of one host. */
public sealed interface HostChange {

    /** Returns the name of the host. */
    String host();

    /** Changes the state of a host. */
    record Transition(String host, HostState to) implements HostChange {}

    /** Moves a drained host to another pool, where it becomes active. */
    record Move(String host, String toPool) implements HostChange {}

    /**
     * Validates the change against a configuration.
     *
     * @param configuration configuration that includes every change up to the revision of the pool's guard
     * @param host current record of the host
     * @return reason why the change is not allowed; empty when it is allowed
     */
    default Optional<HostChangeError> check(SiteConfiguration configuration, Host host) {
        return switch (this) {
            case Transition transition -> checkTransition(configuration, host, transition.to());
            case Move move -> checkMove(configuration, host, move.toPool());
        };
    }

    private static Optional<HostChangeError> checkTransition(SiteConfiguration configuration, Host host, HostState to) {
        if (!HostTransitions.isAllowed(host.state(), to)) {
            return Optional.of(new HostChangeError.TransitionNotAllowed(
                    host.name(), host.state().name(), to.name()));
        }
        if (!HostTransitions.isLimitedByBudget(host.state(), to)) {
            return Optional.empty();
        }
        int active = PoolHostCounts.of(configuration, host.pool()).active();
        int minAvailableHosts = Optional.ofNullable(configuration.pools().get(host.pool()))
                .map(pool -> pool.minAvailableHosts())
                .orElse(0);
        return active - 1 < minAvailableHosts
                ? Optional.of(new HostChangeError.BudgetExhausted(host.pool(), active, minAvailableHosts))
                : Optional.empty();
    }

    private static Optional<HostChangeError> checkMove(SiteConfiguration configuration, Host host, String toPool) {
        if (!configuration.pools().containsKey(toPool)) {
            return Optional.of(new HostChangeError.Contended("pool " + toPool + " does not exist"));
        }
        if (host.state() != HostState.DRAINING) {
            return Optional.of(
                    new HostChangeError.NotDrained(host.name(), host.state().name()));
        }
        return Optional.empty();
    }

    /** Returns the record of the host after the change. */
    default Host applyTo(Host host) {
        return switch (this) {
            case Transition transition -> host.withState(transition.to());
            case Move move -> host.withPool(move.toPool()).withState(HostState.ACTIVE);
        };
    }
}

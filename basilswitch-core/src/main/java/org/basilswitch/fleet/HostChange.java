package org.basilswitch.fleet;

import java.util.Optional;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.SiteConfiguration;

/** A wanted change of one host. */
public sealed interface HostChange {

    /** The host's name. */
    String host();

    /** Changes the host's state. */
    record Transition(String host, HostState to) implements HostChange {}

    /** Moves a drained host to another pool, where it becomes active. */
    record Move(String host, String toPool) implements HostChange {}

    /**
     * Checks a change against a view of the configuration.
     *
     * @param configuration view that includes every change up to the pool's guard
     * @param host the host's record
     * @return why the change is not allowed; empty when it is
     */
    default Optional<HostChangeError> check(SiteConfiguration configuration, Host host) {
        return switch (this) {
            case Transition transition -> checkTransition(configuration, host, transition.to());
            case Move move -> checkMove(configuration, host, move.toPool());
        };
    }

    private static Optional<HostChangeError> checkTransition(SiteConfiguration configuration, Host host, HostState to) {
        if (!HostTransitions.allowed(host.state(), to)) {
            return Optional.of(new HostChangeError.TransitionNotAllowed(
                    host.name(), host.state().name(), to.name()));
        }
        if (!HostTransitions.limitedByBudget(host.state(), to)) {
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

    /** Returns the host's record after the change. */
    default Host applyTo(Host host) {
        return switch (this) {
            case Transition transition -> host.withState(transition.to());
            case Move move -> host.withPool(move.toPool()).withState(HostState.ACTIVE);
        };
    }
}

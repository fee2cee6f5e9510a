package org.basilswitch.maintenance;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.basilswitch.configuration.Host;
import org.basilswitch.configuration.HostState;
import org.basilswitch.configuration.MaintenanceWave;
import org.basilswitch.configuration.SiteConfiguration;

/**
 * Decides whether a wave has to halt because its hosts fail to return.
 *
 * <p>Failures of one rack count once, as they have one cause. The wave halts when so many failures, or more, would be
 * improbable at the tolerated failure rate (upper tail of the binomial distribution).
 */
public final class WaveHaltPolicy {
    /** Part of reboots that may fail without a common cause. */
    private static final double TOLERATED_FAILURE_RATIO = 0.05;

    private static final double SIGNIFICANCE_LEVEL = 0.001;

    private WaveHaltPolicy() {}

    /** Returns the reason to halt, with its remedy; empty when the wave may go on. */
    public static Optional<String> haltReason(SiteConfiguration configuration, MaintenanceWave wave) {
        Set<String> done = new HashSet<>(wave.done());
        List<Host> faulty = wave.hosts().stream()
                .filter(name -> !done.contains(name))
                .map(configuration.hosts()::get)
                .filter(host -> host != null && host.state() == HostState.FAULTY)
                .toList();
        int failures = (int) faulty.stream().map(Host::rack).distinct().count();
        int attempts = done.size() + faulty.size();
        if (failures == 0 || binomialUpperTail(attempts, failures, TOLERATED_FAILURE_RATIO) >= SIGNIFICANCE_LEVEL) {
            return Optional.empty();
        }
        return Optional.of(faulty.size() + " of " + attempts + " hosts did not return, in " + failures
                + " racks: " + String.join(", ", faulty.stream().map(Host::name).toList())
                + "; find the common cause, repair them, then resume or abort the wave");
    }

    /** Probability of at least {@code failures} in {@code trials} at a failure ratio. */
    static double binomialUpperTail(int trials, int failures, double ratio) {
        double cumulative = 0;
        double term = Math.pow(1 - ratio, trials);
        for (int k = 0; k < failures; k++) {
            cumulative += term;
            term *= (trials - k) / (k + 1.0) * ratio / (1 - ratio);
        }
        return Math.max(0, 1 - cumulative);
    }
}

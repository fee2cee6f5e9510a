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
 * Decides whether a wave has to halt because too many of its hosts did not return from their reboot.
 *
 * <p>The failures in one rack count once, as they are assumed to have one cause. The decision is a one-sided binomial
 * test: the wave halts when at least as many failures as observed would be improbable at the tolerated failure ratio.
 */
public final class WaveHaltPolicy {
    /** Ratio of reboots that may fail without a common cause. */
    private static final double TOLERATED_FAILURE_RATIO = 0.05;

    private static final double SIGNIFICANCE_LEVEL = 0.001;

    private WaveHaltPolicy() {}

    /** Returns the reason to halt and the remedy; empty when the wave may continue. */
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

    /** Returns the binomial upper tail: the probability of at least {@code failures} in {@code trials}. */
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

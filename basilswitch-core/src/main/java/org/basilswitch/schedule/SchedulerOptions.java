package org.basilswitch.schedule;

import java.time.Duration;

/**
 * Times that depend on the deployment.
 *
 * @param lease lease of the runs on a backend server, renewed with each hold
 * @param dutyLease lease of the scheduler duty
 * @param hostOrderPause time that a new holder of the duty waits before its first order for a host
 * @param retention time for which the final state of a job is told
 */
public record SchedulerOptions(Duration lease, Duration leaderLease, Duration hostOrderPause, Duration retention) {
    /** Long enough for a takeover within the duty's lease and one hold interval. */
    private static final Duration PREFERRED_LEASE = Duration.ofSeconds(4);

    /** Renewed three times within it; a killed holder is replaced after it. */
    private static final Duration LEADER_LEASE = Duration.ofSeconds(2);

    /** Options within the longest lease that the platform grants. */
    public static SchedulerOptions within(Duration maxLease, Duration hostOrderPause, Duration retention) {
        Duration lease = PREFERRED_LEASE.compareTo(maxLease) < 0 ? PREFERRED_LEASE : maxLease;
        // The earlier holder sent no order while its lease ran out, or it would still hold the duty.
        Duration pause =
                hostOrderPause.compareTo(LEADER_LEASE) > 0 ? hostOrderPause.minus(LEADER_LEASE) : Duration.ZERO;
        return new SchedulerOptions(lease, LEADER_LEASE, pause, retention);
    }
}

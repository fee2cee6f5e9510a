package org.basilswitch.schedule;

import java.time.Duration;

/**
 * Scheduler timeouts that depend on the deployment.
 *
 * @param lease lease of the runs on a backend server, extended with each renewal
 * @param maxLease longest lease that a backend server grants, whatever end a command names
 * @param leaderLease lease of the scheduler leadership
 * @param hostCommandPause time that a new leader waits before its first host command
 * @param retention time for which the final state of a job is reported
 * @param remoteFactor factor by which work items take longer away from their data or group; 1 if that makes no
 *     difference
 */
public record SchedulerOptions(
        Duration lease,
        Duration maxLease,
        Duration leaderLease,
        Duration hostCommandPause,
        Duration retention,
        double remoteFactor) {
    /**
     * Preferred lease of the runs; long enough for a change of leader within the leadership lease plus one renewal
     * interval.
     */
    private static final Duration PREFERRED_LEASE = Duration.ofSeconds(4);

    /** Lease of the leadership, renewed three times within it; a killed leader is replaced after it. */
    private static final Duration LEADER_LEASE = Duration.ofSeconds(2);

    /**
     * Returns the options of a leader that took over before the lease of the earlier one had run out. The earlier one may
     * have sent a host command just before.
     */
    public SchedulerOptions afterHandover() {
        return new SchedulerOptions(
                lease, maxLease, leaderLease, hostCommandPause.plus(leaderLease), retention, remoteFactor);
    }

    /** Returns options with a factor by which work items take longer away from their data or group. */
    public SchedulerOptions withRemoteFactor(double factor) {
        return new SchedulerOptions(lease, maxLease, leaderLease, hostCommandPause, retention, factor);
    }

    /** Creates options whose run lease does not exceed the maximum that the platform grants. */
    public static SchedulerOptions withMaxLease(Duration maxLease, Duration hostOrderPause, Duration retention) {
        Duration lease = PREFERRED_LEASE.compareTo(maxLease) < 0 ? PREFERRED_LEASE : maxLease;
        // The earlier leader sent no command while its lease ran out, or it would still be the leader.
        Duration pause =
                hostOrderPause.compareTo(LEADER_LEASE) > 0 ? hostOrderPause.minus(LEADER_LEASE) : Duration.ZERO;
        return new SchedulerOptions(lease, maxLease, LEADER_LEASE, pause, retention, 1);
    }
}

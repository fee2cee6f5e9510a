package org.basilswitch.schedule;

import java.time.Duration;

/**
 * Times that depend on the deployment.
 *
 * @param lease lease of the runs on a backend server, renewed with each hold
 * @param dutyLease lease of the scheduler duty
 * @param hostOrderPause time that a new holder of the duty waits before its first order for a host
 */
public record SchedulerOptions(Duration lease, Duration dutyLease, Duration hostOrderPause) {
    /** Long enough for a takeover within the duty's lease and one hold interval. */
    private static final Duration PREFERRED_LEASE = Duration.ofSeconds(4);

    private static final Duration DUTY_LEASE = Duration.ofSeconds(2);

    /** Options within the longest lease that the platform grants. */
    public static SchedulerOptions within(Duration longestLease, Duration hostOrderPause) {
        Duration lease = PREFERRED_LEASE.compareTo(longestLease) < 0 ? PREFERRED_LEASE : longestLease;
        return new SchedulerOptions(lease, DUTY_LEASE, hostOrderPause.minus(DUTY_LEASE));
    }
}

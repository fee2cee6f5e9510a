package org.basilswitch.administration;

import java.time.Duration;

/**
 * Bounds of administration.
 *
 * @param operationRetention how long an operation's result can be asked for
 * @param auditRetention how long audit records are kept
 * @param answerTime longest time to find out what became of a change
 */
public record AdministrationLimits(Duration operationRetention, Duration auditRetention, Duration answerTime) {

    /** A day for operations, two weeks for audit records and five seconds for an answer. */
    public static AdministrationLimits defaults() {
        return new AdministrationLimits(Duration.ofHours(24), Duration.ofDays(14), Duration.ofSeconds(5));
    }
}

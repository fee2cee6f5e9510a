package org.basilswitch.administration;

import java.time.Duration;

/**
 * Time limits of administration.
 *
 * @param operationRetention time for which the result of an operation is kept
 * @param auditRetention time for which audit records are kept
 * @param answerTime time within which a change is accepted or refused, or reported as unknown
 */
public record AdministrationLimits(Duration operationRetention, Duration auditRetention, Duration answerTime) {

    /** Returns the defaults: 24 hours for operations, 14 days for audit records and 5 seconds for an answer. */
    public static AdministrationLimits defaults() {
        return new AdministrationLimits(Duration.ofHours(24), Duration.ofDays(14), Duration.ofSeconds(5));
    }
}

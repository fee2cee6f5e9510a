package org.basilswitch.schedule;

import org.basilswitch.job.AdviceTimes;

/**
 * What the answers of the advice service tell about a queue.
 *
 * @param stated times of the service as the operator states them
 * @param callSize how long calls take, and how many servers to name in one
 * @param allowedShare how probably servers are allowed
 */
record QueueAdvice(AdviceTimes stated, AdviceCallSize callSize, AllowedShare allowedShare) {
    static QueueAdvice of(AdviceTimes stated, TicketLifetime lifetime) {
        return new QueueAdvice(stated, AdviceCallSize.of(stated, lifetime), new AllowedShare());
    }
}

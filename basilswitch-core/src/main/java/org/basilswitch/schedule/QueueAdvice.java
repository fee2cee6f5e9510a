package org.basilswitch.schedule;

import org.basilswitch.job.AdviceTimes;

/**
 * What the answers of the advice service tell about a queue.
 *
 * @param stated times of the service as the operator states them
 * @param callSize how long calls take, and how many servers to name in one
 */
record QueueAdvice(AdviceTimes stated, AdviceCallSize callSize) {
    static QueueAdvice of(AdviceTimes stated) {
        return new QueueAdvice(stated, AdviceCallSize.of(stated));
    }
}

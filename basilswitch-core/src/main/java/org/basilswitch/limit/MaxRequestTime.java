package org.basilswitch.limit;

import java.time.Duration;

import org.basilswitch.configuration.Queue;
import org.basilswitch.configuration.SiteConfiguration;

/**
 * The longest time for which a started request may run: the longest deadline of all queues.
 *
 * @param deadline the longest deadline, 1 second or more
 */
public record MaxRequestTime(Duration deadline) {
    private static final Duration MIN_DEADLINE = Duration.ofSeconds(1);
    private static final double CLOCK_DRIFT_FACTOR = 1.05;

    /** Returns the longest deadline of a configuration's queues. */
    public static MaxRequestTime of(SiteConfiguration configuration) {
        Duration longest = configuration.queues().values().stream()
                .map(Queue::deadlineMs)
                .map(Duration::ofMillis)
                .max(Duration::compareTo)
                .orElse(MIN_DEADLINE);
        return new MaxRequestTime(longest.compareTo(MIN_DEADLINE) < 0 ? MIN_DEADLINE : longest);
    }

    /** Returns the time after which all work of a host that starts none any more has ended; allows for clock drift. */
    Duration reclaimDelay() {
        return Duration.ofNanos((long) (deadline.toNanos() * CLOCK_DRIFT_FACTOR))
                .plusSeconds(1);
    }
}

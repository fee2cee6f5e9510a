package org.basilswitch.admission;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/** Creates random retry delays for refused callers, so that they do not all retry at the same time. */
public final class RetryAfter {
    private static final Duration MIN = Duration.ofSeconds(1);
    private static final Duration MAX = Duration.ofSeconds(30);

    private final UniformRandomProvider random;

    private RetryAfter(UniformRandomProvider random) {
        this.random = random;
    }

    /** Creates a source of retry delays. */
    public static RetryAfter create(UniformRandomProvider random) {
        return new RetryAfter(random);
    }

    /** Returns a delay, uniformly distributed between one and three times the expected wait, within 1 s to 30 s. */
    public Duration withJitter(Duration expectedWait) {
        double base = Math.max(MIN.toMillis(), expectedWait.toMillis());
        double millis = base * (1 + 2 * random.nextDouble());
        return Duration.ofMillis((long) Math.min(MAX.toMillis(), millis));
    }
}

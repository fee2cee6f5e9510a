package org.basilswitch.admission;

import java.time.Duration;

import org.apache.commons.rng.UniformRandomProvider;

/** Times after which refused callers are asked to return, spread at random so that they don't return together. */
public final class RetryAfter {
    private static final Duration MIN = Duration.ofSeconds(1);
    private static final Duration MAX = Duration.ofSeconds(30);

    private final UniformRandomProvider random;

    private RetryAfter(UniformRandomProvider random) {
        this.random = random;
    }

    /** Creates a source of times. */
    public static RetryAfter create(UniformRandomProvider random) {
        return new RetryAfter(random);
    }

    /** Returns a time, spread evenly between the expected wait and three times it, within 1 s to 30 s. */
    public Duration withJitter(Duration expectedWait) {
        double base = Math.max(MIN.toMillis(), expectedWait.toMillis());
        double millis = base * (1 + 2 * random.nextDouble());
        return Duration.ofMillis((long) Math.min(MAX.toMillis(), millis));
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Maximum of the values within a sliding time window, kept as a queue of decreasing values. */
final class SlidingMaximum {
    private final long windowNanos;
    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(double value, long atNanos) {}

    SlidingMaximum(Duration window) {
        this.windowNanos = window.toNanos();
    }

    void add(double value, long nowNanos) {
        while (!samples.isEmpty() && samples.peekLast().value <= value) {
            samples.pollLast();
        }
        samples.add(new Sample(value, nowNanos));
    }

    /** Returns the largest value within the window; zero when there is none. */
    double maximum(long nowNanos) {
        while (!samples.isEmpty() && nowNanos - samples.peekFirst().atNanos > windowNanos) {
            samples.pollFirst();
        }
        return samples.isEmpty() ? 0 : samples.peekFirst().value;
    }
}

package org.basilswitch.schedule;

import java.util.HashMap;
import java.util.Map;

/** Tells which jobs a team hands in beyond its weight in jobs a second; each team may save up one second's worth. */
final class TeamRateMeter {
    private static final double NANOS_PER_S = 1e9;
    /** Seconds' worth of jobs that may come at once. */
    private static final double BURST_SECONDS = 1.5;

    private final Map<String, Bucket> buckets = new HashMap<>();

    private static final class Bucket {
        private double tokens;
        private long atNanos;
    }

    /** Counts a job; returns whether it is beyond the team's rate. */
    boolean countAndCheckExceeded(String team, double weight, long nowNanos) {
        double capacity = Math.max(1, weight * BURST_SECONDS);
        Bucket bucket = buckets.computeIfAbsent(team, name -> {
            Bucket fresh = new Bucket();
            fresh.tokens = capacity;
            fresh.atNanos = nowNanos;
            return fresh;
        });
        double refill = (nowNanos - bucket.atNanos) / NANOS_PER_S * weight;
        bucket.tokens = Math.min(capacity, bucket.tokens + refill);
        bucket.atNanos = nowNanos;
        if (bucket.tokens < 1) {
            return true;
        }
        bucket.tokens -= 1;
        return false;
    }
}

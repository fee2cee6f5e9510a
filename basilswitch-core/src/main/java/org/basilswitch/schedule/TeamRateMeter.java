package org.basilswitch.schedule;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Token bucket per team, which marks the jobs that a team submits above its weight in jobs per second. */
final class TeamRateMeter {
    private static final double NANOS_PER_S = 1e9;
    /** Capacity of a bucket, in seconds of the team's rate. */
    private static final double BURST_SECONDS = 1.5;

    private final Map<String, Bucket> buckets = new HashMap<>();

    private static final class Bucket {
        private double tokens;
        private long atNanos;
    }

    /** Returns the teams whose next job exceeds their rate. */
    Set<String> teamsAboveRate(long nowNanos, ToDoubleFunction<String> weight) {
        Set<String> teams = new HashSet<>();
        buckets.forEach((team, bucket) -> {
            if (bucket.tokens + (nowNanos - bucket.atNanos) / NANOS_PER_S * weight.applyAsDouble(team) < 1) {
                teams.add(team);
            }
        });
        return teams;
    }

    /** Counts a job and returns whether it exceeds the team's rate. */
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

package org.basilswitch.bench.load;

import java.util.Map;
import java.util.TreeMap;

/** Counts of one team's requests. */
public final class LoadCounts {
    private long sent;
    private long answered;
    private long failedAtServer;
    private final Map<String, Long> refused = new TreeMap<>();
    private final Map<String, Long> unknown = new TreeMap<>();
    private long foreignAnswers;

    void recordSent() {
        sent++;
    }

    void recordEnd(Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered ok -> {
                answered++;
                failedAtServer += ok.status() == 200 ? 0 : 1;
            }
            case Outcome.Refused no -> refused.merge(no.code(), 1L, Long::sum);
            case Outcome.Unknown lost -> unknown.merge(lost.code(), 1L, Long::sum);
            case Outcome.Foreign other -> foreignAnswers++;
        }
    }

    /** Requests sent. */
    public long sentRequests() {
        return sent;
    }

    /** Requests with their own whole answer. */
    public long answeredRequests() {
        return answered;
    }

    /** Answered requests whose backend server's status was not 200. */
    public long failedRequests() {
        return failedAtServer;
    }

    /** Requests refused as not run, by code. */
    public Map<String, Long> refusedByCode() {
        return new TreeMap<>(refused);
    }

    /** Requests that may have run, by code. */
    public Map<String, Long> unknownByCode() {
        return new TreeMap<>(unknown);
    }

    /** Refusals in all. */
    public long refusedRequests() {
        return total(refused);
    }

    /** Unknown outcomes in all. */
    public long unknownRequests() {
        return total(unknown);
    }

    /** Answers that belonged to another request. */
    public long foreignAnswers() {
        return foreignAnswers;
    }

    /** Requests that have not ended. */
    public long openRequests() {
        return sent - answered - refusedRequests() - unknownRequests() - foreignAnswers;
    }

    private static long total(Map<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}

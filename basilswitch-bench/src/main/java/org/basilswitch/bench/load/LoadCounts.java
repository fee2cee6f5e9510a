package org.basilswitch.bench.load;

import java.util.Map;
import java.util.TreeMap;

/** Counts the requests of one team by outcome. */
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

    /** Returns the number of requests sent. */
    public long sentRequests() {
        return sent;
    }

    /** Returns the number of requests that got their own complete answer. */
    public long answeredRequests() {
        return answered;
    }

    /** Returns the number of answered requests whose backend server's status was not 200. */
    public long failedRequests() {
        return failedAtServer;
    }

    /** Returns the number of requests refused as not run, by refusal code. */
    public Map<String, Long> refusedByCode() {
        return new TreeMap<>(refused);
    }

    /** Returns the number of requests that may have run, by code. */
    public Map<String, Long> unknownByCode() {
        return new TreeMap<>(unknown);
    }

    /** Returns the number of requests refused as not run. */
    public long refusedRequests() {
        return total(refused);
    }

    /** Returns the number of requests that may have run. */
    public long unknownRequests() {
        return total(unknown);
    }

    /** Returns the number of requests that got the answer of another request. */
    public long foreignAnswers() {
        return foreignAnswers;
    }

    /** Returns the number of requests that have not ended. */
    public long openRequests() {
        return sent - answered - refusedRequests() - unknownRequests() - foreignAnswers;
    }

    private static long total(Map<String, Long> counts) {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}

package org.basilswitch.bench.load;

import java.util.List;
import java.util.Map;

/**
 * A load's accounts after its last request has ended.
 *
 * @param countsByTeam counts by team
 * @param results the account of each request
 * @param notSent arrivals that were not sent because too many requests were open
 */
public record LoadResult(Map<String, LoadCounts> countsByTeam, List<RequestResult> results, long notSent) {

    /** Copies the list. */
    public LoadResult {
        results = List.copyOf(results);
    }

    /** Requests sent. */
    public long sentRequests() {
        return countsByTeam.values().stream()
                .mapToLong(LoadCounts::sentRequests)
                .sum();
    }
}

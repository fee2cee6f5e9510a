package org.basilswitch.bench.load;

import java.util.List;
import java.util.Map;

/**
 * Result of a load after its last request has ended.
 *
 * @param countsByTeam counts by team
 * @param results result of each request
 * @param notSent number of arrivals not sent because the bound of open requests was reached
 */
public record LoadResult(Map<String, LoadCounts> countsByTeam, List<RequestResult> results, long notSent) {

    /** Makes an unmodifiable copy of the list. */
    public LoadResult {
        results = List.copyOf(results);
    }

    /** Returns the number of requests sent by all teams. */
    public long sentRequests() {
        return countsByTeam.values().stream()
                .mapToLong(LoadCounts::sentRequests)
                .sum();
    }
}

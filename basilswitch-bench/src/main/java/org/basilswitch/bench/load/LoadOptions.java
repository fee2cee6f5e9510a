package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.List;

/**
 * A load to apply.
 *
 * @param streams requests of each team and queue
 * @param targets entry hosts
 * @param duration how long new requests are sent
 * @param maxOpenRequests bound on requests without an answer; arrivals above it are not sent and are counted
 * @param retries times that a caller sends a request again under the same id after a refusal or a lost answer
 * @param runId prefix of the request identifiers, different for each run against the same store
 * @param seed seed of arrival and service times
 */
public record LoadOptions(
        List<LoadStream> streams,
        List<EntryTarget> targets,
        Duration duration,
        int maxOpenRequests,
        int retries,
        String runId,
        long seed) {

    /** Copies the lists. */
    public LoadOptions {
        streams = List.copyOf(streams);
        targets = List.copyOf(targets);
    }
}

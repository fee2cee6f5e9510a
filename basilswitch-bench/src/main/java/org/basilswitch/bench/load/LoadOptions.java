package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.List;

/**
 * Options of a load.
 *
 * @param streams request streams, each of one team to one queue
 * @param targets entry hosts to send to
 * @param duration how long new requests are sent
 * @param maxOpenRequests largest number of requests without an outcome; arrivals beyond it are counted and not sent
 * @param retries largest number of times that a caller resends a request with the same idempotency key after a
 *     refusal or a lost answer
 * @param runId prefix of the request identifiers; has to be unique among runs against the same store
 * @param seed seed of the arrival and service times
 */
public record LoadOptions(
        List<LoadStream> streams,
        List<EntryTarget> targets,
        Duration duration,
        int maxOpenRequests,
        int retries,
        String runId,
        long seed) {

    /** Makes unmodifiable copies of the lists. */
    public LoadOptions {
        streams = List.copyOf(streams);
        targets = List.copyOf(targets);
    }
}

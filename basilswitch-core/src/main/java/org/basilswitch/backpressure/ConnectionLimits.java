package org.basilswitch.backpressure;

import java.time.Duration;

/**
 * What the connections of a server may hold of its process.
 *
 * @param bufferBytes memory for unfinished requests, requests in work and unread answers over all connections, bytes
 * @param maxConnections most open connections
 * @param maxConnectionsPerAddress most open connections of one client address; 0 for no limit
 * @param progressTimeout longest time without a part of an unfinished request
 * @param shortageTimeout the same while more than half of the memory is in use
 */
public record ConnectionLimits(
        long bufferBytes,
        int maxConnections,
        int maxConnectionsPerAddress,
        Duration progressTimeout,
        Duration shortageTimeout) {
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SHORTAGE_TIMEOUT = Duration.ofSeconds(2);

    /** Returns limits with the usual timeouts and without a limit for each address. */
    public static ConnectionLimits of(long bufferBytes, int maxConnections) {
        return new ConnectionLimits(bufferBytes, maxConnections, 0, PROGRESS_TIMEOUT, SHORTAGE_TIMEOUT);
    }

    /** Returns the same limits with one for each client address; 0 for none. */
    public ConnectionLimits withMaxConnectionsPerAddress(int connections) {
        return new ConnectionLimits(bufferBytes, maxConnections, connections, progressTimeout, shortageTimeout);
    }
}

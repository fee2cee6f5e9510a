package org.basilswitch.daemon.store;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Options of the store client.
 *
 * @param endpoints base URLs, such as {@code http://127.0.0.1:2379}, at least one; after a failure the next is used
 * @param connectTimeout longest time to open a connection
 * @param callTimeout longest time for one attempt of a call, until the whole response has arrived
 * @param readAttempts total number of attempts of a read or keep-alive; at least 1
 * @param watchIdleTimeout time without a message after which a watch is reopened
 * @param connections largest number of connections to one endpoint, not counting watches
 */
public record EtcdStoreOptions(
        List<URI> endpoints,
        Duration connectTimeout,
        Duration callTimeout,
        int readAttempts,
        Duration watchIdleTimeout,
        int connections) {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int READ_ATTEMPTS = 3;
    private static final Duration WATCH_IDLE_TIMEOUT = Duration.ofSeconds(15);
    private static final int CONNECTIONS = 16;

    /** Copies the endpoints and rejects an empty list or less than one attempt. */
    public EtcdStoreOptions {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty() || readAttempts < 1) {
            throw new IllegalArgumentException("the store needs an endpoint and at least one attempt");
        }
    }

    /** Creates options with the default timeouts, attempts and connections. */
    public static EtcdStoreOptions of(List<URI> endpoints) {
        return new EtcdStoreOptions(
                endpoints, CONNECT_TIMEOUT, CALL_TIMEOUT, READ_ATTEMPTS, WATCH_IDLE_TIMEOUT, CONNECTIONS);
    }

    /** Returns a copy with another call timeout. */
    public EtcdStoreOptions withCallTimeout(Duration next) {
        return new EtcdStoreOptions(endpoints, connectTimeout, next, readAttempts, watchIdleTimeout, connections);
    }

    /** Returns a copy with another number of read attempts. */
    public EtcdStoreOptions withReadAttempts(int next) {
        return new EtcdStoreOptions(endpoints, connectTimeout, callTimeout, next, watchIdleTimeout, connections);
    }

    /** Returns a copy with another watch idle timeout. */
    public EtcdStoreOptions withWatchIdleTimeout(Duration next) {
        return new EtcdStoreOptions(endpoints, connectTimeout, callTimeout, readAttempts, next, connections);
    }
}

package org.basilswitch.daemon.store;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the store's adapter.
 *
 * @param endpoints base addresses, such as {@code http://127.0.0.1:2379}, tried in turn
 * @param connectTimeout longest time for opening a connection
 * @param callTimeout longest time for one attempt of a call, its answer included
 * @param readAttempts attempts of a read or keep-alive in all, at least 1
 * @param watchIdleTimeout silence after which a watch is opened again
 * @param connections most connections to one endpoint, watches apart
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

    /** Copies the endpoints. */
    public EtcdStoreOptions {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty() || readAttempts < 1) {
            throw new IllegalArgumentException("the store needs an endpoint and at least one attempt");
        }
    }

    /** Options with the usual time-outs. */
    public static EtcdStoreOptions of(List<URI> endpoints) {
        return new EtcdStoreOptions(
                endpoints, CONNECT_TIMEOUT, CALL_TIMEOUT, READ_ATTEMPTS, WATCH_IDLE_TIMEOUT, CONNECTIONS);
    }

    /** Returns these options with another time-out of a call. */
    public EtcdStoreOptions withCallTimeout(Duration next) {
        return new EtcdStoreOptions(endpoints, connectTimeout, next, readAttempts, watchIdleTimeout, connections);
    }

    /** Returns these options with another number of attempts of a read. */
    public EtcdStoreOptions withReadAttempts(int next) {
        return new EtcdStoreOptions(endpoints, connectTimeout, callTimeout, next, watchIdleTimeout, connections);
    }

    /** Returns these options with another silence after which a watch is opened again. */
    public EtcdStoreOptions withWatchIdleTimeout(Duration next) {
        return new EtcdStoreOptions(endpoints, connectTimeout, callTimeout, readAttempts, next, connections);
    }
}

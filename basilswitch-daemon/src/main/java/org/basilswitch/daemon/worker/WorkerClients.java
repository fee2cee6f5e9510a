package org.basilswitch.daemon.worker;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.basilswitch.configuration.Host;
import org.basilswitch.daemon.WorkerClientOptions;

/**
 * HTTP clients for backend servers.
 *
 * <p>Each server's connection limit is divided among the entry hosts, so that all entry hosts together stay within it.
 */
public final class WorkerClients implements AutoCloseable {
    private static final String PATH = "/v1/run";

    private final Vertx vertx;
    private final WorkerClientOptions options;
    private final Map<Integer, HttpClient> clientsByConnectionLimit = new HashMap<>();
    private final Map<String, RequestOptions> targets = new HashMap<>();

    private WorkerClients(Vertx vertx, WorkerClientOptions options) {
        this.vertx = vertx;
        this.options = options;
    }

    /** Creates clients without connections. */
    public static WorkerClients create(Vertx vertx, WorkerClientOptions options) {
        return new WorkerClients(vertx, options);
    }

    /**
     * Creates a request on a pooled connection to a backend server; the future fails when no connection was obtained.
     */
    Future<HttpClientRequest> request(Host server, int entryHosts) {
        RequestOptions target = targets.computeIfAbsent(server.address(), WorkerClients::target);
        int connections = Math.max(1, server.connections() / Math.max(1, entryHosts));
        return clientsByConnectionLimit
                .computeIfAbsent(connections, this::createClient)
                .request(target);
    }

    private HttpClient createClient(int connections) {
        HttpClientOptions http = new HttpClientOptions()
                .setConnectTimeout((int) options.connectTimeout().toMillis())
                .setKeepAliveTimeout((int) options.idleTimeout().toSeconds());
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(-1);
        return vertx.createHttpClient(http, pool);
    }

    private static RequestOptions target(String address) {
        int colon = address.lastIndexOf(':');
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(address.substring(0, colon))
                .setPort(Integer.parseInt(address.substring(colon + 1)))
                .setURI(PATH);
    }

    /** Closes idle connections at once and the others when their requests end, at the latest after the timeout. */
    public Future<Void> shutdown(long timeoutMs) {
        return Future.join(clientsByConnectionLimit.values().stream()
                        .map(client -> client.shutdown(timeoutMs, TimeUnit.MILLISECONDS))
                        .toList())
                .mapEmpty();
    }

    @Override
    public void close() {
        clientsByConnectionLimit.values().forEach(HttpClient::close);
    }
}

package org.basilswitch.bench.load;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;

/** Round-robin load balancer over the entry hosts that pass their periodic readiness probe. */
final class Balancer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long PROBE_INTERVAL_MS = 250;
    private static final int PROBE_TIMEOUT_MS = 1000;
    private static final int HTTP_OK = 200;

    private final Vertx vertx;
    private final List<EntryTarget> targets;
    private final Set<EntryTarget> ready = new HashSet<>();
    private final HttpClient client;
    private final long timer;
    private int next;

    private Balancer(Vertx vertx, List<EntryTarget> targets) {
        this.vertx = vertx;
        this.targets = targets;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(PROBE_TIMEOUT_MS),
                new PoolOptions().setHttp1MaxSize(1).setMaxWaitQueueSize(1));
        this.timer = vertx.setPeriodic(0, PROBE_INTERVAL_MS, ignored -> targets.forEach(this::probe));
    }

    static Balancer create(Vertx vertx, List<EntryTarget> targets) {
        return new Balancer(vertx, targets);
    }

    private void probe(EntryTarget target) {
        client.request(HttpMethod.GET, target.administrationPort(), LOOPBACK, "/readyz")
                .compose(request -> request.idleTimeout(PROBE_TIMEOUT_MS).send())
                .compose(response -> response.body().map(ignored -> response))
                .onSuccess(response -> onProbeResponse(target, response))
                .onFailure(ignored -> ready.remove(target));
    }

    private void onProbeResponse(EntryTarget target, HttpClientResponse response) {
        if (response.statusCode() == HTTP_OK) {
            ready.add(target);
        } else {
            ready.remove(target);
        }
    }

    /** Returns the next ready entry host that is not excluded; empty when there is none. */
    Optional<EntryTarget> choose(Set<EntryTarget> excluded) {
        List<EntryTarget> candidates = new ArrayList<>(targets);
        candidates.removeIf(target -> !ready.contains(target) || excluded.contains(target));
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(next++ % candidates.size()));
    }

    /** Excludes an entry host until it passes its next readiness probe. */
    void markNotReady(EntryTarget target) {
        ready.remove(target);
    }

    int readyTargets() {
        return ready.size();
    }

    @Override
    public void close() {
        vertx.cancelTimer(timer);
        client.close();
    }
}

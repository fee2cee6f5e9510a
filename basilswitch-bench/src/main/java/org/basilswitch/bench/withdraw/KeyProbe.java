package org.basilswitch.bench.withdraw;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** Probes all entry hosts with requests that use a key, until each of them refuses the key. */
final class KeyProbe implements AutoCloseable {
    private static final int UNAUTHORIZED = 401;
    private static final long INTERVAL_MS = 5;
    private static final String DEADLINE_MS = "50";
    private static final long ANSWER_TIMEOUT_MS = 1_000;
    private static final int NO_ANSWER = 0;

    private final Vertx vertx;
    private final HttpClient client;
    private final Context context;
    private final List<Integer> ports;
    private final AtomicLong unanswered = new AtomicLong();

    private KeyProbe(Vertx vertx, List<Integer> ports) {
        this.vertx = vertx;
        this.client = vertx.createHttpClient();
        this.context = vertx.getOrCreateContext();
        this.ports = ports;
    }

    static KeyProbe create(Vertx vertx, List<Integer> callerPorts) {
        return new KeyProbe(vertx, callerPorts);
    }

    /** Returns whether no entry host refuses the key; blocks until all have answered or timed out. */
    boolean isAcceptedEverywhere(String secret) {
        return ports.stream().noneMatch(port -> status(port, secret).await() == UNAUTHORIZED);
    }

    /**
     * Completes when every entry host has refused the key, with the {@link System#nanoTime} of the last first refusal.
     */
    CompletableFuture<Long> awaitRefusedEverywhere(String secret) {
        List<CompletableFuture<Long>> refusals =
                ports.stream().map(port -> awaitRefused(port, secret)).toList();
        return CompletableFuture.allOf(refusals.toArray(CompletableFuture[]::new))
                .thenApply(all -> refusals.stream()
                        .mapToLong(CompletableFuture::join)
                        .max()
                        .orElseThrow());
    }

    private CompletableFuture<Long> awaitRefused(int port, String secret) {
        CompletableFuture<Long> refusedAt = new CompletableFuture<>();
        probeUntilRefused(port, secret, refusedAt);
        return refusedAt;
    }

    private void probeUntilRefused(int port, String secret, CompletableFuture<Long> refusedAt) {
        status(port, secret).onComplete(answer -> {
            if (answer.succeeded() && answer.result() == UNAUTHORIZED) {
                refusedAt.complete(System.nanoTime());
            } else {
                vertx.setTimer(INTERVAL_MS, id -> probeUntilRefused(port, secret, refusedAt));
            }
        });
    }

    /** Returns the number of probes without an answer within 1 s; they count as if the key had been accepted. */
    long unanswered() {
        return unanswered.get();
    }

    private Future<Integer> status(int port, String secret) {
        return send(port, secret)
                .timeout(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .otherwise(error -> {
                    unanswered.incrementAndGet();
                    return NO_ANSWER;
                });
    }

    private Future<Integer> send(int port, String secret) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost("127.0.0.1")
                .setPort(port)
                .setTimeout(ANSWER_TIMEOUT_MS)
                .setURI("/v1/queues/" + WithdrawBench.QUEUE + "/requests")
                .putHeader("Authorization", "Bearer " + secret)
                .putHeader("Basilswitch-Deadline-Ms", DEADLINE_MS);
        Promise<Integer> status = Promise.promise();
        // On another thread, the end of the response could come before the call of body(), which then never completes.
        context.runOnContext(ignored -> client.request(options)
                .compose(request -> request.send("{}"))
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onComplete(status));
        return status.future();
    }

    @Override
    public void close() {
        client.close();
    }
}

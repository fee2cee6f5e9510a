package org.basilswitch.bench.proxy;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.HdrHistogram.Histogram;

/** HTTP client on one event loop with its own connections. Its state is confined to that event loop. */
final class EventLoopClient {
    private static final int OK = 200;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Context context;
    private final int connections;
    private final Buffer body;
    private final String secret;
    private final HttpClient client;
    private RequestOptions target;
    private Histogram latencies;
    private Promise<Void> done;
    private long saturateUntilNanos;
    private long open;
    private long answered;
    private long failed;
    private boolean saturating;
    private boolean stopped;

    EventLoopClient(Vertx vertx, int connections, int bodyBytes, String secret) {
        this.context = vertx.getOrCreateContext();
        this.connections = connections;
        this.body = Buffer.buffer(new byte[bodyBytes]);
        this.secret = secret;
        this.client = vertx.createHttpClient(
                new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(-1));
    }

    Context context() {
        return context;
    }

    private void startRound(int port) {
        target = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost("127.0.0.1")
                .setPort(port)
                .setURI("/v1/queues/bench/requests")
                .putHeader("Content-Type", "application/octet-stream")
                .putHeader("Authorization", "Bearer " + secret);
        latencies = new Histogram(SIGNIFICANT_DIGITS);
        done = Promise.promise();
        open = 0;
        answered = 0;
        failed = 0;
        stopped = false;
    }

    /**
     * Sends a new request on each connection as soon as the last one was answered, until a time; completes with the
     * last answer.
     */
    Future<Void> saturate(int port, long endNanos) {
        startRound(port);
        saturating = true;
        saturateUntilNanos = endNanos;
        for (int i = 0; i < connections; i++) {
            send(System.nanoTime());
        }
        return done.future();
    }

    /** Starts a round of single requests; the future completes with the last answer after {@link #stop}. */
    Future<Void> prepare(int port) {
        startRound(port);
        saturating = false;
        return done.future();
    }

    void stop() {
        stopped = true;
        finishIfIdle();
    }

    void send(long dueNanos) {
        open++;
        client.request(target)
                .compose(request -> request.send(body))
                .compose(answer -> answer.body().map(responseBody -> answer.statusCode()))
                .onComplete(status -> onAnswer(dueNanos, status.succeeded() && status.result() == OK));
    }

    private void onAnswer(long dueNanos, boolean good) {
        open--;
        long now = System.nanoTime();
        if (good) {
            answered++;
            latencies.recordValue(Math.max(0, now - dueNanos));
        } else {
            failed++;
        }
        if (saturating && now < saturateUntilNanos) {
            send(now);
        } else if (saturating) {
            stop();
        } else {
            finishIfIdle();
        }
    }

    private void finishIfIdle() {
        if (stopped && open == 0) {
            done.tryComplete();
        }
    }

    long answered() {
        return answered;
    }

    long failed() {
        return failed;
    }

    Histogram latencies() {
        return latencies;
    }
}

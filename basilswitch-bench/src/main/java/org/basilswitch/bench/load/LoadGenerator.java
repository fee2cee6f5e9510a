package org.basilswitch.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import org.basilswitch.standin.worker.LoadBody;

/**
 * Open-loop load generator: sends requests as Poisson processes at given rates, independently of the answers to
 * earlier ones, and records the outcome of each.
 */
public final class LoadGenerator extends VerticleBase {
    private static final long TICK_MS = 5;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int CONNECTIONS_PER_HOST = 2000;
    private static final double MILLIS_PER_SECOND = 1000;

    private final LoadOptions options;
    private final Promise<LoadResult> finished = Promise.promise();
    private final SplittableRandom random;
    private final Map<String, LoadCounts> counts = new LinkedHashMap<>();
    private final List<RequestResult> results = new ArrayList<>();
    private final double[] arrivalsUntilNext;
    private final AtomicReference<Duration> duration;
    private Balancer balancer;
    private LoadRequest.Dependencies dependencies;
    private long startNanos;
    private long lastStepNanos;
    private long timer;
    private long nextRequest;
    private long notSent;
    private int open;
    private boolean sending = true;

    private LoadGenerator(LoadOptions options) {
        this.options = options;
        this.random = new SplittableRandom(options.seed());
        this.arrivalsUntilNext = new double[options.streams().size()];
        this.duration = new AtomicReference<>(options.duration());
        options.streams().forEach(stream -> counts.putIfAbsent(stream.team(), new LoadCounts()));
    }

    /** Deploys a generator, which starts sending once the balancer has a ready entry host. */
    public static Future<LoadGenerator> start(Vertx vertx, LoadOptions options) {
        LoadGenerator generator = new LoadGenerator(options);
        return vertx.deployVerticle(generator).map(generator);
    }

    @Override
    public Future<?> start() {
        HttpClient client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_HOST));
        balancer = Balancer.create(vertx, options.targets());
        dependencies = new LoadRequest.Dependencies(vertx, client, balancer, options.retries());
        awaitReady();
        return Future.succeededFuture();
    }

    private void awaitReady() {
        if (balancer.readyTargets() == 0) {
            vertx.setTimer(TICK_MS, ignored -> awaitReady());
            return;
        }
        startNanos = System.nanoTime();
        lastStepNanos = startNanos;
        timer = vertx.setPeriodic(TICK_MS, ignored -> sendDueRequests());
    }

    private void sendDueRequests() {
        long nowNanos = System.nanoTime();
        Duration elapsed = Duration.ofNanos(nowNanos - startNanos);
        if (elapsed.compareTo(duration.get()) > 0) {
            stopSending();
            return;
        }
        double stepSeconds = (nowNanos - lastStepNanos)
                / MILLIS_PER_SECOND
                / Duration.ofMillis(1).toNanos();
        lastStepNanos = nowNanos;
        for (int i = 0; i < arrivalsUntilNext.length; i++) {
            LoadStream stream = options.streams().get(i);
            arrivalsUntilNext[i] -=
                    stepSeconds * stream.ratePerSecond() * stream.pattern().factor(elapsed);
            while (arrivalsUntilNext[i] < 0) {
                send(stream);
                arrivalsUntilNext[i] += exponential();
            }
        }
    }

    /**
     * Draws an exponentially distributed number with mean 1, such as the interval between arrivals of a Poisson
     * process.
     */
    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private void send(LoadStream stream) {
        if (open >= options.maxOpenRequests()) {
            notSent++;
            return;
        }
        open++;
        counts.get(stream.team()).recordSent();
        String testId = options.runId() + "-" + nextRequest++;
        double serviceMs = Math.max(1, exponential() * stream.serviceMs());
        LoadRequest.send(dependencies, stream, new LoadBody(testId, serviceMs), this::onRequestEnd);
    }

    private void onRequestEnd(RequestResult result) {
        open--;
        counts.get(result.stream().team()).recordEnd(result.outcome());
        results.add(result);
        finishWhenDone();
    }

    private void stopSending() {
        sending = false;
        vertx.cancelTimer(timer);
        finishWhenDone();
    }

    private void finishWhenDone() {
        if (!sending && open == 0 && !finished.future().isComplete()) {
            balancer.close();
            finished.complete(new LoadResult(counts, results, notSent));
        }
    }

    /** Stops sending before the duration has passed; open requests still end. */
    public void stopEarly() {
        duration.set(Duration.ZERO);
    }

    /** Returns a future that completes when sending has stopped and every request has ended. */
    public Future<LoadResult> finished() {
        return finished.future();
    }

    /** Returns a copy of the current counts by team. */
    public Future<Map<String, TeamProgress>> progress() {
        Promise<Map<String, TeamProgress>> promise = Promise.promise();
        context.runOnContext(ignored -> {
            Map<String, TeamProgress> copy = new LinkedHashMap<>();
            counts.forEach((team, count) -> copy.put(team, TeamProgress.of(count)));
            promise.complete(copy);
        });
        return promise.future();
    }

    /**
     * Snapshot of a team's counts.
     *
     * @param sent number of requests sent
     * @param answered number of requests answered
     * @param refusedByCode number of requests refused as not run, by refusal code
     * @param unknown number of requests that may have run
     */
    public record TeamProgress(long sent, long answered, Map<String, Long> refusedByCode, long unknown) {
        private static TeamProgress of(LoadCounts counts) {
            return new TeamProgress(
                    counts.sentRequests(), counts.answeredRequests(), counts.refusedByCode(), counts.unknownRequests());
        }
    }
}

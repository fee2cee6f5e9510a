package org.basilswitch.bench.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.HdrHistogram.Histogram;

/** Load generator on several event loops: closed loop on all connections, or open loop at a fixed rate. */
final class ProxyLoad implements AutoCloseable {
    private static final int CLIENTS = 2;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(CLIENTS));
    private final List<EventLoopClient> clients = new ArrayList<>();

    private ProxyLoad(int connections, int bodyBytes, String secret) {
        for (int client = 0; client < CLIENTS; client++) {
            runAndWait(() -> clients.add(new EventLoopClient(vertx, connections / CLIENTS, bodyBytes, secret)));
        }
    }

    static ProxyLoad create(int connections, int bodyBytes, String secret) {
        return new ProxyLoad(connections, bodyBytes, secret);
    }

    /**
     * Runs an action on a new thread; Vert.x assigns the next event loop to a context created on a non-Vert.x thread.
     */
    private static void runAndWait(Runnable action) {
        Thread thread = new Thread(action, "load-setup");
        thread.start();
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a new request on each connection as soon as the last one was answered, for the given time. */
    RoundResult saturate(ProxyUnderTest proxy, Duration time) {
        long startCpuNanos = EventLoops.cpuNanos(proxy.threadId());
        long startNanos = System.nanoTime();
        long endNanos = startNanos + time.toNanos();
        CountDownLatch finished = new CountDownLatch(CLIENTS);
        for (EventLoopClient client : clients) {
            client.context()
                    .runOnContext(
                            turn -> client.saturate(proxy.port(), endNanos).onComplete(done -> finished.countDown()));
        }
        await(finished);
        return result(startNanos, EventLoops.cpuNanos(proxy.threadId()) - startCpuNanos);
    }

    /**
     * Sends at a fixed rate for the given time, independently of answers; latency counts from when a request was due.
     */
    RoundResult sendAtRate(ProxyUnderTest proxy, Duration time, double perSecond) {
        CountDownLatch finished = new CountDownLatch(CLIENTS);
        for (EventLoopClient client : clients) {
            client.context()
                    .runOnContext(turn -> client.prepare(proxy.port()).onComplete(done -> finished.countDown()));
        }
        long startCpuNanos = EventLoops.cpuNanos(proxy.threadId());
        long startNanos = System.nanoTime();
        sendWhenDue(startNanos, time.toNanos(), NANOS_PER_SECOND / perSecond);
        clients.forEach(client -> client.context().runOnContext(turn -> client.stop()));
        await(finished);
        return result(startNanos, EventLoops.cpuNanos(proxy.threadId()) - startCpuNanos);
    }

    private void sendWhenDue(long startNanos, long timeNanos, double gapNanos) {
        long count = (long) (timeNanos / gapNanos);
        for (long number = 0; number < count; number++) {
            long dueNanos = startNanos + (long) (number * gapNanos);
            while (System.nanoTime() < dueNanos) {
                Thread.onSpinWait();
            }
            EventLoopClient client = clients.get((int) (number % CLIENTS));
            client.context().runOnContext(turn -> client.send(dueNanos));
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private RoundResult result(long startNanos, long cpuNanos) {
        Duration duration = Duration.ofNanos(System.nanoTime() - startNanos);
        Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
        clients.forEach(client -> latencies.add(client.latencies()));
        return new RoundResult(
                clients.stream().mapToLong(EventLoopClient::answered).sum(),
                clients.stream().mapToLong(EventLoopClient::failed).sum(),
                duration,
                cpuNanos,
                latencies);
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}

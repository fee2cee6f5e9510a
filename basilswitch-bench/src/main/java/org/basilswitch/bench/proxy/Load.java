package org.basilswitch.bench.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.HdrHistogram.Histogram;

/** Sends requests from several event loops, as fast as answers come or at a fixed rate. */
final class Load implements AutoCloseable {
    private static final int LANES = 2;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(LANES));
    private final List<LoadLane> lanes = new ArrayList<>();

    private Load(int connections, int bodyBytes, String secret) {
        for (int lane = 0; lane < LANES; lane++) {
            runAndWait(() -> lanes.add(new LoadLane(vertx, connections / LANES, bodyBytes, secret)));
        }
    }

    static Load create(int connections, int bodyBytes, String secret) {
        return new Load(connections, bodyBytes, secret);
    }

    /** Runs an action on a thread of its own, so that each gets an event loop of its own from Vert.x. */
    private static void runAndWait(Runnable action) {
        Thread thread = new Thread(action, "load-setup");
        thread.start();
        try {
            thread.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Keeps every connection busy for a time. */
    RoundResult saturate(ProxyUnderTest proxy, Duration time) {
        long startCpuNanos = EventLoops.cpuNanos(proxy.threadId());
        long startNanos = System.nanoTime();
        long endNanos = startNanos + time.toNanos();
        CountDownLatch finished = new CountDownLatch(LANES);
        for (LoadLane lane : lanes) {
            lane.context()
                    .runOnContext(
                            turn -> lane.saturate(proxy.port(), endNanos).onComplete(done -> finished.countDown()));
        }
        await(finished);
        return result(startNanos, EventLoops.cpuNanos(proxy.threadId()) - startCpuNanos);
    }

    /** Sends at a fixed rate for a time, whether or not answers come. */
    RoundResult pace(ProxyUnderTest proxy, Duration time, double perSecond) {
        CountDownLatch finished = new CountDownLatch(LANES);
        for (LoadLane lane : lanes) {
            lane.context().runOnContext(turn -> lane.expect(proxy.port()).onComplete(done -> finished.countDown()));
        }
        long startCpuNanos = EventLoops.cpuNanos(proxy.threadId());
        long startNanos = System.nanoTime();
        sendWhenDue(startNanos, time.toNanos(), NANOS_PER_SECOND / perSecond);
        lanes.forEach(lane -> lane.context().runOnContext(turn -> lane.stop()));
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
            LoadLane lane = lanes.get((int) (number % LANES));
            lane.context().runOnContext(turn -> lane.send(dueNanos));
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
        lanes.forEach(lane -> latencies.add(lane.latencies()));
        return new RoundResult(
                lanes.stream().mapToLong(LoadLane::answered).sum(),
                lanes.stream().mapToLong(LoadLane::failed).sum(),
                duration,
                cpuNanos,
                latencies);
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}

package org.basilswitch.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.basilswitch.backpressure.ConnectionLimits;
import org.basilswitch.daemon.SystemClock;
import org.basilswitch.daemon.VertxScheduler;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class DrainingHttpServerTest {
    private static final int ANSWER_DELAY_MS = 600;

    private static final ServerLimits LIMITS = new ServerLimits(1024, ConnectionLimits.of(1_000_000, 100));

    private final Vertx vertx = Vertx.vertx();

    @AfterClass
    public void stop() {
        vertx.close();
    }

    /** Guards against connections that are closed with the listener although a request on them is not answered yet. */
    @Test
    public void openRequestIsAnsweredAfterClose() throws Exception {
        Context context = vertx.getOrCreateContext();
        CompletableFuture<Void> received = new CompletableFuture<>();
        DrainingHttpServer server = DrainingHttpServer.create(
                (request, body) -> {
                    received.complete(null);
                    vertx.setTimer(
                            ANSWER_DELAY_MS, ignored -> request.response().end("answer"));
                },
                LIMITS,
                SystemClock.create(),
                VertxScheduler.create(vertx, context),
                Telemetry.none());
        int port = listen(context, server);
        CompletableFuture<HttpResponse<String>> response = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .build()
                .sendAsync(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        received.get(5, TimeUnit.SECONDS);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        context.runOnContext(ignored -> server.close().onComplete(closed::complete, closed::completeExceptionally));
        assertEquals(response.get(5, TimeUnit.SECONDS).body(), "answer");
        assertTrue(response.get().headers().firstValue("Connection").isPresent());
        closed.get(5, TimeUnit.SECONDS);
    }

    /**
     * Guards against a request that is read and not answered: it is sent on a connection without an earlier request, while
     * the event loop lags, just before the connections are closed.
     */
    @Test
    public void firstRequestOfConnectionIsAnsweredOrNotRead() throws Exception {
        for (int lagMs = 100; lagMs <= 200; lagMs += 20) {
            int lag = lagMs;
            Context context = vertx.getOrCreateContext();
            DrainingHttpServer server = DrainingHttpServer.create(
                    (request, body) -> request.response().end("answer"),
                    LIMITS,
                    SystemClock.create(),
                    VertxScheduler.create(vertx, context),
                    Telemetry.none());
            int port = listen(context, server);
            try (Socket socket = new Socket("127.0.0.1", port)) {
                Thread.sleep(50);
                CompletableFuture<Void> closing = new CompletableFuture<>();
                context.runOnContext(ignored -> {
                    closing.complete(null);
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(lag));
                    server.close();
                });
                closing.get(5, TimeUnit.SECONDS);
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                socket.setSoTimeout(5000);
                assertTrue(isAnsweredOrReset(socket), "closed without an answer after a lag of " + lag + " ms");
            }
        }
    }

    /** Guards against a request that waits unread on an open connection while the event loop lags through all probes. */
    @Test
    public void requestThatArrivesWhileTheLoopLagsIsAnswered() throws Exception {
        Context context = vertx.getOrCreateContext();
        List<Runnable> probes = new ArrayList<>();
        AtomicLong lagNanos = new AtomicLong();
        Clock clock = new LaggingClock(lagNanos);
        Scheduler scheduler = (delay, task) -> {
            probes.add(task);
            return () -> {};
        };
        DrainingHttpServer server = DrainingHttpServer.create(
                (request, body) -> request.response().end("answer"), LIMITS, clock, scheduler, Telemetry.none());
        int port = listen(context, server);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5000);
            send(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            byte[] first = new byte[512];
            assertTrue(new String(first, 0, socket.getInputStream().read(first), StandardCharsets.US_ASCII)
                    .contains("answer"));
            CompletableFuture<Void> lagging = new CompletableFuture<>();
            CompletableFuture<Void> sent = new CompletableFuture<>();
            context.runOnContext(ignored -> {
                lagging.complete(null);
                sent.join();
                server.close();
                for (int i = 0; i < probes.size(); i++) {
                    lagNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(500));
                    probes.get(i).run();
                }
            });
            lagging.get(5, TimeUnit.SECONDS);
            send(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
            // Loopback hands the bytes over before the write returns.
            sent.complete(null);
            assertTrue(
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).contains("answer"));
        }
    }

    /**
     * Load: requests sent ahead on many connections at once. Between two ticks of a timer at most a turn's requests are
     * handled, and not a part of what each connection has sent.
     */
    @Test
    public void timersHaveTheirTurnsBesideRequestsSentAhead() throws Exception {
        int connections = 40;
        int requests = 300;
        Context context = vertx.getOrCreateContext();
        AtomicInteger handled = new AtomicInteger();
        DrainingHttpServer server = DrainingHttpServer.create(
                (request, body) -> {
                    handled.incrementAndGet();
                    LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(50));
                    request.response().end();
                },
                new ServerLimits(1024, ConnectionLimits.of(10_000_000, 100)),
                SystemClock.create(),
                VertxScheduler.create(vertx, context),
                Telemetry.none());
        int port = listen(context, server);
        List<Socket> sockets = new ArrayList<>();
        try {
            CompletableFuture<Void> sent = new CompletableFuture<>();
            context.runOnContext(ignored -> sent.join());
            for (int i = 0; i < connections; i++) {
                sockets.add(new Socket("127.0.0.1", port));
                send(sockets.get(i), "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(requests));
            }
            CompletableFuture<Integer> mostBetweenTicks = new CompletableFuture<>();
            context.runOnContext(ignored -> tick(handled, connections * requests, 0, 0, mostBetweenTicks));
            sent.complete(null);
            int most = mostBetweenTicks.get(60, TimeUnit.SECONDS);
            assertTrue(most < 1000, most + " requests were handled between two ticks");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private void tick(AtomicInteger handled, int all, int before, int most, CompletableFuture<Integer> result) {
        int now = handled.get();
        int nextMost = Math.max(most, now - before);
        if (now == all) {
            result.complete(nextMost);
        } else {
            vertx.setTimer(1, ignored -> tick(handled, all, now, nextMost, result));
        }
    }

    /** A clock that is ahead by what the event loop is made to lag. */
    private record LaggingClock(AtomicLong lagNanos) implements Clock {
        @Override
        public long monotonicNanos() {
            return System.nanoTime() + lagNanos.get();
        }

        @Override
        public Instant instant() {
            return Instant.now();
        }
    }

    /** Guards against an idle connection that is closed as stalled: its last body came apart from its header. */
    @Test
    public void bodyAfterItsHeaderLeavesNothingUnfinished() throws Exception {
        Context context = vertx.getOrCreateContext();
        Duration timeout = Duration.ofMillis(200);
        String body = "b".repeat(100_000);
        DrainingHttpServer server = DrainingHttpServer.create(
                (request, bytes) -> request.response().setStatusCode(400).end(),
                new ServerLimits(body.length(), new ConnectionLimits(10_000_000, 100, 0, timeout, timeout)),
                SystemClock.create(),
                VertxScheduler.create(vertx, context),
                Telemetry.none());
        int port = listen(context, server);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5000);
            send(socket, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + body.length() + "\r\n\r\n");
            Thread.sleep(50);
            send(socket, body);
            Thread.sleep(3000);
            send(socket, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertEquals(answers.split("HTTP/1.1 400", -1).length - 1, 2, answers);
        }
    }

    /** Starts a server; returns its port. */
    private int listen(Context context, DrainingHttpServer server) throws Exception {
        CompletableFuture<HttpServer> listening = new CompletableFuture<>();
        context.runOnContext(ignored -> server.listen(vertx, new HttpServerOptions(), "127.0.0.1", 0)
                .onComplete(listening::complete, listening::completeExceptionally));
        return listening.get(5, TimeUnit.SECONDS).actualPort();
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static boolean isAnsweredOrReset(Socket socket) throws IOException {
        try {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).contains("answer");
        } catch (SocketException e) {
            return true;
        }
    }
}

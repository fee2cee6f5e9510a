package org.basilswitch.standin.worker;

import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests the stand-in worker over HTTP: slots, refusals of requests that have not run, faults and its execution log. */
public final class WorkerServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int CONNECTIONS = 8;
    private static final byte[] REQUEST_HEAD =
            "GET /control/counts HTTP/1.1\r\nHost: worker\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long LONG_MS = 600;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private Vertx vertx;
    private ExecutionLog executionLog;
    private WorkerServer worker;

    /** Starts a worker with two slots. */
    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        executionLog = ExecutionLog.create();
        WorkerOptions options =
                WorkerOptions.of("w").withSlots(2, CONNECTIONS).withServiceTime(new ServiceTime.Fixed(1));
        worker = WorkerServer.start(vertx, options, executionLog).await();
    }

    /** Stops the worker. */
    @AfterMethod(alwaysRun = true)
    public void stop() {
        vertx.close().await();
    }

    private HttpRequest.Builder runRequest(String id, double serviceMs) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + worker.port() + "/v1/run"))
                .timeout(TIMEOUT)
                .header("Basilswitch-Request-Id", id)
                .header("Basilswitch-Attempt", "1")
                .header("Basilswitch-Team", "depot")
                .header("Basilswitch-Queue", "quotes")
                .POST(HttpRequest.BodyPublishers.ofString(
                        "{\"testId\":\"" + id + "\",\"serviceMs\":" + serviceMs + "}"));
    }

    private CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return sendAsync(request).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private HttpResponse<String> control(String path, String body) throws Exception {
        return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + worker.port() + path))
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    }

    private void awaitStarted(long count) throws Exception {
        long limitNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (executionLog.teams().values().stream()
                        .mapToLong(ExecutionLog.TeamCount::started)
                        .sum()
                != count) {
            assertTrue(System.nanoTime() < limitNanos, "started executions did not reach " + count);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private void awaitRunning(int count) throws Exception {
        long limitNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (worker.running().await() != count) {
            assertTrue(System.nanoTime() < limitNanos, "running requests did not reach " + count);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static String header(HttpResponse<?> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }

    /** A response echoes the request's identifier and attempt, and the execution is logged for its team. */
    @Test
    public void answerRepeatsIdentifierAndRunIsRecorded() throws Exception {
        HttpResponse<String> response = send(runRequest("r1", 5));
        assertEquals(response.statusCode(), 200);
        assertEquals(header(response, "Basilswitch-Request-Id"), "r1");
        assertEquals(header(response, "Basilswitch-Attempt"), "1");
        assertTrue(response.body().contains("\"testId\":\"r1\""), response.body());
        ExecutionRecord recorded = executionLog.snapshot().runs().getFirst();
        assertEquals(recorded.team(), "depot");
        assertTrue(recorded.endedMicros() >= recorded.startedMicros());
    }

    /** A request that arrives after its start limit is refused and not logged as run. */
    @Test
    public void requestPastStartTimeIsRefusedAndNotRun() throws Exception {
        String past = Instant.now().minusSeconds(1).toString();
        HttpResponse<String> response = send(runRequest("late", 5).header("Basilswitch-Start-Before", past));
        assertEquals(response.statusCode(), 412);
        assertEquals(header(response, "Basilswitch-Request-Id"), "late");
        assertEquals(executionLog.snapshot().runs().size(), 0);
        assertEquals(executionLog.snapshot().refused(), Map.of("late", 1L));
    }

    /** A worker whose slots are all in use refuses requests as busy without running them. */
    @Test
    public void requestIsRefusedAsBusyWhenSlotsAreFull() throws Exception {
        CompletableFuture<HttpResponse<String>> first = sendAsync(runRequest("a", LONG_MS));
        CompletableFuture<HttpResponse<String>> second = sendAsync(runRequest("b", LONG_MS));
        awaitRunning(2);
        HttpResponse<String> third = send(runRequest("c", 5));
        assertEquals(third.statusCode(), 503);
        assertEquals(header(third, "Basilswitch-Worker"), "busy");
        assertEquals(first.get().statusCode(), 200);
        assertEquals(second.get().statusCode(), 200);
        assertEquals(executionLog.teams().get("depot").maxRunning(), 2);
        assertEquals(ExecutionAudit.of(executionLog.snapshot().runs()).runsByTestId(), Map.of("a", 1L, "b", 1L));
    }

    /** Connections above the limit are closed and counted as refused. */
    @Test
    public void connectionsBeyondLimitAreClosed() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i <= CONNECTIONS; i++) {
                Socket socket = new Socket("127.0.0.1", worker.port());
                sockets.add(socket);
                socket.getOutputStream().write(REQUEST_HEAD);
            }
            long limitNanos = System.nanoTime() + TIMEOUT.toNanos();
            while (!executionLog.snapshot().refused().containsKey("connections")) {
                assertTrue(System.nanoTime() < limitNanos, "no connection was refused");
                TimeUnit.MILLISECONDS.sleep(5);
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** With the fault failEverything, a request gets status 500 immediately and is still logged as run. */
    @Test
    public void failEverythingFaultAnswers500() throws Exception {
        assertEquals(control("/control/faults", "{\"failEverything\":true}").statusCode(), 200);
        assertEquals(send(runRequest("f", 500)).statusCode(), 500);
        assertEquals(executionLog.teams().get("depot").started(), 1);
        control("/control/faults", "{\"failEverything\":false}");
        assertEquals(send(runRequest("g", 1)).statusCode(), 200);
    }

    /** With the fault crossed, two requests get each other's response. */
    @Test
    public void crossedFaultExchangesAnswers() throws Exception {
        worker.setFaults(WorkerFaults.none().withCrossed(true));
        CompletableFuture<HttpResponse<String>> first = sendAsync(runRequest("a", 5));
        CompletableFuture<HttpResponse<String>> second = sendAsync(runRequest("b", 5));
        assertEquals(header(first.get(), "Basilswitch-Request-Id"), "b");
        assertEquals(header(second.get(), "Basilswitch-Request-Id"), "a");
    }

    /** With the fault lateMs, the response is sent after the execution has ended and its slot is free. */
    @Test
    public void lateFaultDelaysAnswerButFreesSlot() throws Exception {
        worker.setFaults(WorkerFaults.none().withLateMs(LONG_MS));
        CompletableFuture<HttpResponse<String>> late = sendAsync(runRequest("l", 1));
        awaitStarted(1);
        awaitRunning(0);
        assertTrue(!late.isDone(), "answered before the delay");
        assertEquals(late.get().statusCode(), 200);
    }

    /** A stop aborts running requests and refuses connections; a restart serves again on the same port. */
    @Test
    public void stopAbortsRunsAndRestartServesAgain() throws Exception {
        worker.setFaults(WorkerFaults.none().withHang(true));
        CompletableFuture<HttpResponse<String>> aborted = sendAsync(runRequest("h", 1));
        awaitRunning(1);
        worker.setFaults(WorkerFaults.none());
        worker.stopAbruptly().await();
        assertThrows(ExecutionException.class, () -> aborted.get());
        assertThrows(ExecutionException.class, () -> send(runRequest("refused", 1)));
        worker.restart().await();
        assertEquals(send(runRequest("again", 1)).statusCode(), 200);
        assertEquals(executionLog.teams().get("depot").running(), 0);
    }

    /** A draining worker completes running requests and refuses new ones until it is resumed. */
    @Test
    public void drainingWorkerRefusesNewRequests() throws Exception {
        CompletableFuture<HttpResponse<String>> running = sendAsync(runRequest("r", LONG_MS));
        awaitRunning(1);
        control("/control/drain", "");
        assertEquals(send(runRequest("n", 1)).statusCode(), 503);
        assertEquals(running.get().statusCode(), 200);
        control("/control/resume", "");
        assertEquals(send(runRequest("m", 1)).statusCode(), 200);
    }

    /** Missing or malformed headers, unknown paths and invalid faults are refused. */
    @Test
    public void malformedRequestsAreRefused() throws Exception {
        assertEquals(control("/v1/run", "{}").statusCode(), 400);
        assertEquals(
                send(runRequest("x", 1).header("Basilswitch-Start-Before", "yesterday"))
                        .statusCode(),
                400);
        assertEquals(control("/elsewhere", "").statusCode(), 404);
        assertEquals(control("/control/faults", "{\"slowFactor\":-1}").statusCode(), 400);
    }
}

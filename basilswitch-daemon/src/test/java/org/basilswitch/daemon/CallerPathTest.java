package org.basilswitch.daemon;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Black-box tests of a caller's request through one entry host to a backend server. */
public final class CallerPathTest {
    private SiteFixture site;

    /** Starts the site. */
    @BeforeClass
    public void start() {
        site = SiteFixture.start();
    }

    /** Makes the worker echo request bodies. */
    @BeforeMethod
    public void resetWorker() {
        site.worker.setHandler(FakeWorker::echo);
    }

    /** Stops the site. */
    @AfterClass
    public void stop() {
        site.close();
    }

    /** Body, content type, status and headers are forwarded, and the outcome header is added. */
    @Test
    public void workerResponseIsForwarded() {
        site.worker.setHandler(request -> request.body()
                .onSuccess(body -> FakeWorker.createResponse(request)
                        .setStatusCode(202)
                        .putHeader("X-Seen-Type", request.getHeader("Content-Type"))
                        .end("got " + body)));
        HttpResponse<String> answer = site.send(site.post(HttpRequest.BodyPublishers.ofString("truck 7"))
                .header("Content-Type", "text/x-route")
                .build());
        assertEquals(answer.statusCode(), 202);
        assertEquals(answer.body(), "got truck 7");
        assertEquals(answer.headers().firstValue("X-Seen-Type").orElseThrow(), "text/x-route");
        assertEquals(answer.headers().firstValue("Basilswitch-Outcome").orElseThrow(), "ran");
        assertTrue(answer.headers().firstValue("Basilswitch-Request-Id").isEmpty());
    }

    /** The backend server receives the typed headers but not the caller's API key. */
    @Test
    public void workerReceivesTypedHeadersWithoutApiKey() {
        JsonObject receivedHeaders = new JsonObject();
        site.worker.setHandler(request -> {
            request.headers()
                    .forEach(header -> receivedHeaders.put(header.getKey().toLowerCase(), header.getValue()));
            FakeWorker.createResponse(request).end();
        });
        site.send(site.post(HttpRequest.BodyPublishers.noBody())
                .header("Basilswitch-Deadline-Ms", "5000")
                .build());
        assertEquals(receivedHeaders.getString("basilswitch-queue"), SiteFixture.QUEUE);
        assertEquals(receivedHeaders.getString("basilswitch-attempt"), "1");
        assertTrue(Long.parseLong(receivedHeaders.getString("basilswitch-deadline-ms")) <= 5000);
        assertTrue(receivedHeaders.containsKey("basilswitch-start-before"));
        assertTrue(!receivedHeaders.containsKey("authorization"));
    }

    /** A request to an unknown queue is refused with a problem document that contains outcome and remedy. */
    @Test
    public void unknownQueueIsRefused() {
        HttpResponse<String> answer = site.send(HttpRequest.newBuilder(site.requestsUri("nowhere"))
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build());
        JsonObject problem = new JsonObject(answer.body());
        assertEquals(answer.statusCode(), 404);
        assertEquals(answer.headers().firstValue("Content-Type").orElseThrow(), "application/problem+json");
        assertEquals(problem.getString("code"), "queue-unknown");
        assertEquals(problem.getString("outcome"), "not-run");
        assertTrue(!problem.getString("remedy").isEmpty());
    }

    /** A retry with the same idempotency key is not run again and gets the cached response. */
    @Test
    public void retryWithIdempotencyKeyGetsCachedResponse() {
        int before = site.worker.requestIds().size();
        HttpRequest request = site.post(HttpRequest.BodyPublishers.ofString("invoice 12"))
                .header("Idempotency-Key", "invoice-12")
                .build();
        HttpResponse<String> first = site.send(request);
        HttpResponse<String> second = site.send(request);
        assertEquals(first.statusCode(), 200);
        assertEquals(second.statusCode(), 200);
        assertEquals(second.body(), first.body());
        assertTrue(first.headers().firstValue("Basilswitch-Replayed").isEmpty());
        assertEquals(second.headers().firstValue("Basilswitch-Replayed").orElseThrow(), "true");
        assertEquals(site.worker.requestIds().size(), before + 1);
    }

    /** A response over the size limit is not cached: a retry is refused as already claimed. */
    @Test
    public void longResponsesAreNotCached() {
        HttpRequest request = site.post(HttpRequest.BodyPublishers.ofString("x".repeat(40_000)))
                .header("Idempotency-Key", "long-1")
                .build();
        assertEquals(site.send(request).statusCode(), 200);
        HttpResponse<String> second = site.send(request);
        assertEquals(second.statusCode(), 409);
        assertEquals(new JsonObject(second.body()).getString("code"), "already-claimed");
    }

    /** A body of several megabytes arrives complete in both directions. */
    @Test
    public void largeBodiesAreStreamed() {
        byte[] bytes = Buffer.buffer("0123456789abcdef".repeat(200_000)).getBytes();
        HttpResponse<String> answer = site.send(
                site.post(HttpRequest.BodyPublishers.ofByteArray(bytes)).build());
        assertEquals(answer.statusCode(), 200);
        assertEquals(answer.body().length(), bytes.length);
        assertEquals(answer.body(), new String(bytes));
    }

    /** A response that carries another request's identifier is dropped, not forwarded. */
    @Test
    public void responseToAnotherRequestIsNotForwarded() {
        site.worker.setHandler(request -> request.response()
                .putHeader("Basilswitch-Request-Id", "another")
                .putHeader("Basilswitch-Attempt", "1")
                .end("another's invoice"));
        HttpResponse<String> answer =
                site.send(site.post(HttpRequest.BodyPublishers.ofString("x")).build());
        assertEquals(answer.statusCode(), 502);
        assertEquals(new JsonObject(answer.body()).getString("outcome"), "unknown");
        assertTrue(!answer.body().contains("invoice"));
    }

    /** A disconnect of the caller resets the request to the backend server. */
    @Test
    public void callerDisconnectCancelsWorkerRequest() {
        AtomicBoolean reset = new AtomicBoolean();
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        site.worker.setHandler(request -> {
            request.connection().closeHandler(closed -> reset.set(true));
            arrived.complete(null);
        });
        CompletableFuture<HttpResponse<String>> answer = site.client.sendAsync(
                site.post(HttpRequest.BodyPublishers.ofString("x")).build(), HttpResponse.BodyHandlers.ofString());
        arrived.join();
        answer.cancel(true);
        SiteFixture.await(reset::get);
    }

    /** A deadline that expires while the backend server runs the request gives outcome unknown. */
    @Test
    public void expiredDeadlineGivesUnknownOutcome() {
        site.worker.setHandler(request -> {});
        HttpResponse<String> answer = site.send(site.post(HttpRequest.BodyPublishers.ofString("x"))
                .header("Basilswitch-Deadline-Ms", "200")
                .build());
        assertEquals(new JsonObject(answer.body()).getString("outcome"), "unknown");
    }
}

package org.basilswitch.daemon;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests how faults of backend servers appear to the caller. */
public final class WorkerFaultTest {
    private static final int CONNECTIONS = 3;
    private static final int CALLERS = 12;

    /** A truncated response fails at the caller and is not accepted as complete. */
    @Test
    public void truncatedResponseFailsAtCaller() {
        try (SiteFixture site = SiteFixture.start()) {
            site.worker.setHandler(request -> {
                FakeWorker.createResponse(request)
                        .putHeader("Content-Length", "100")
                        .write("part");
                site.vertx.setTimer(50, id -> request.connection().close());
            });
            CompletableFuture<HttpResponse<String>> answer = send(site);
            assertThrows(CompletionException.class, answer::join);
        }
    }

    /** A refusal by a busy server gives outcome not-run. */
    @Test
    public void busyServerGivesNotRunOutcome() {
        try (SiteFixture site = SiteFixture.start()) {
            site.worker.setHandler(request -> FakeWorker.createResponse(request)
                    .setStatusCode(503)
                    .putHeader("Basilswitch-Worker", "busy")
                    .end());
            HttpResponse<String> answer = site.send(site.post(HttpRequest.BodyPublishers.ofString("x"))
                    .header("Basilswitch-Deadline-Ms", "500")
                    .build());
            assertEquals(answer.headers().firstValue("Basilswitch-Outcome").orElseThrow(), "not-run");
        }
    }

    /** A connection closed after the request was sent gives outcome unknown. */
    @Test
    public void closedConnectionGivesUnknownOutcome() {
        try (SiteFixture site = SiteFixture.start()) {
            site.worker.setHandler(request -> request.connection().close());
            HttpResponse<String> answer = send(site).join();
            assertEquals(answer.statusCode(), 502);
            assertEquals(new JsonObject(answer.body()).getString("outcome"), "unknown");
        }
    }

    /** Connections to a server stay within its limit; further requests wait for a connection. */
    @Test
    public void connectionsStayWithinLimit() {
        try (SiteFixture site = SiteFixture.startWithConnections(CONNECTIONS)) {
            Set<Object> connections = new HashSet<>();
            AtomicInteger maxConnections = new AtomicInteger();
            site.worker.setHandler(request -> {
                connections.add(request.connection());
                maxConnections.accumulateAndGet(connections.size(), Math::max);
                site.vertx.setTimer(30, id -> FakeWorker.echo(request));
                request.pause();
            });
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                answers.add(send(site));
            }
            int answered = 0;
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                HttpResponse<String> response = answer.join();
                boolean ran = response.statusCode() == 200;
                assertTrue(ran
                        || response.headers()
                                .firstValue("Basilswitch-Outcome")
                                .orElseThrow()
                                .equals("not-run"));
                answered += ran ? 1 : 0;
            }
            assertTrue(answered >= CONNECTIONS * 2, "answered " + answered);
            assertTrue(maxConnections.get() <= CONNECTIONS, "connections " + maxConnections);
        }
    }

    /** Responses that arrive in a different order than the requests reach the right callers. */
    @Test
    public void reorderedResponsesReachTheirCallers() {
        try (SiteFixture site = SiteFixture.start()) {
            List<HttpServerRequest> waiting = new ArrayList<>();
            site.worker.setHandler(request -> {
                request.pause();
                waiting.add(0, request);
                if (waiting.size() == CALLERS) {
                    waiting.forEach(FakeWorker::echo);
                }
            });
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                HttpRequest request = site.post(HttpRequest.BodyPublishers.ofString("caller " + i))
                        .build();
                answers.add(site.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
            }
            for (int i = 0; i < CALLERS; i++) {
                assertEquals(answers.get(i).join().body(), "caller " + i);
            }
        }
    }

    private static CompletableFuture<HttpResponse<String>> send(SiteFixture site) {
        HttpRequest request =
                site.post(HttpRequest.BodyPublishers.ofString("x")).build();
        return site.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }
}

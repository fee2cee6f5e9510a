package org.basilswitch.daemon;

import java.net.ConnectException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Tests that a graceful shutdown completes the accepted requests. */
public final class ShutdownTest {
    private static final int OPEN_REQUESTS = 20;

    /**
     * While not ready, requests are still accepted; then new ones are refused, open ones complete and the ports close.
     */
    @Test
    public void acceptedRequestsComplete() {
        try (SiteFixture site = SiteFixture.start()) {
            CompletableFuture<Void> release = new CompletableFuture<>();
            site.worker.setHandler(request -> release.thenRun(() -> answer(request)));
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < OPEN_REQUESTS; i++) {
                answers.add(send(site));
            }
            SiteFixture.await(() -> site.worker.requestIds().size() == OPEN_REQUESTS);
            Future<Void> stopped = site.server.shutdown();
            SiteFixture.await(() -> site.status("/readyz") == 503);
            answers.add(send(site));
            SiteFixture.await(() -> site.worker.requestIds().size() == OPEN_REQUESTS + 1);
            SiteFixture.await(() -> refusedAsDraining(site));
            assertTrue(!stopped.isComplete());
            release.complete(null);
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                assertEquals(answer.join().statusCode(), 200);
                assertEquals(answer.join().body(), "done");
            }
            stopped.await();
            assertThrows(ConnectException.class, () -> new Socket("127.0.0.1", site.server.callerPort()));
        }
    }

    private static void answer(HttpServerRequest request) {
        FakeWorker.createResponse(request).end("done");
    }

    private static CompletableFuture<HttpResponse<String>> send(SiteFixture site) {
        HttpRequest request =
                site.post(HttpRequest.BodyPublishers.ofString("x")).build();
        return site.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request with a short deadline, as the worker holds all responses back. */
    private static boolean refusedAsDraining(SiteFixture site) {
        HttpRequest request = site.post(HttpRequest.BodyPublishers.ofString("x"))
                .header("Basilswitch-Deadline-Ms", "20")
                .build();
        HttpResponse<String> answer = site.send(request);
        return answer.statusCode() == 503
                && answer.body().contains("draining")
                && answer.headers().firstValue("Connection").orElse("").equals("close");
    }

    /** Requests still open after the drain time are closed, so that the process can exit. */
    @Test
    public void requestsOpenAfterGraceAreClosed() {
        ShutdownOptions steps = new ShutdownOptions(java.time.Duration.ofMillis(1), java.time.Duration.ofMillis(200));
        try (SiteFixture site = SiteFixture.start(SiteFixture.options().withShutdownOptions(steps))) {
            site.worker.setHandler(request -> {});
            CompletableFuture<HttpResponse<String>> answer = send(site);
            SiteFixture.await(() -> site.worker.requestIds().size() == 1);
            site.server.shutdown().await();
            assertThrows(java.util.concurrent.CompletionException.class, answer::join);
        }
    }
}

package org.basilswitch.bench.withdraw;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class KeyProbeTest {
    private static final int PROBES = 1000;

    /** Guards against probes whose answer arrives while the calling thread waits for a processor and is then missed. */
    @Test
    public void answersToProbesOfBusyMachineAreReceived() throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        AtomicBoolean done = new AtomicBoolean();
        List<Thread> busy = new ArrayList<>();
        for (int i = 0; i < Runtime.getRuntime().availableProcessors(); i++) {
            busy.add(Thread.ofPlatform().daemon().start(() -> {
                while (!done.get()) {
                    Thread.onSpinWait();
                }
            }));
        }
        try {
            HttpServer server = vertx.createHttpServer()
                    .requestHandler(
                            request -> request.response().setStatusCode(503).end("{}"))
                    .listen(0, "127.0.0.1")
                    .await();
            try (KeyProbe probe = KeyProbe.create(vertx, List.of(server.actualPort()))) {
                probe.isAcceptedEverywhere("first probe, which loads classes");
                long unansweredBefore = probe.unanswered();
                for (int i = 0; i < PROBES && probe.unanswered() == unansweredBefore; i++) {
                    assertTrue(probe.isAcceptedEverywhere("secret"));
                }
                assertEquals(probe.unanswered(), unansweredBefore);
            }
        } finally {
            done.set(true);
            for (Thread thread : busy) {
                thread.join();
            }
            vertx.close().await();
        }
    }
}

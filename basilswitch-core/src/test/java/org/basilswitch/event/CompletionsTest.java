package org.basilswitch.event;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

final class CompletionsTest {
    private final List<String> events = new ArrayList<>();

    private final Telemetry telemetry = RecordingTelemetry.to(events);

    @Test
    public void exceptionOfActionIsLogged() {
        events.clear();
        Completions.thenAcceptOrLog(CompletableFuture.completedFuture(1), telemetry, "list", value -> {
            throw new IllegalStateException("no configuration");
        });
        assertEquals(events.size(), 1);
        assertTrue(
                events.get(0).startsWith("ACTION_FAILED list: java.lang.IllegalStateException: no configuration at "));
    }

    @Test
    public void exceptionOfStageIsLogged() {
        events.clear();
        CompletableFuture<Integer> stage = new CompletableFuture<>();
        Completions.thenAcceptOrLog(stage.thenApply(value -> value / 0), telemetry, "list", value -> {});
        stage.complete(1);
        assertEquals(events.size(), 1);
        assertTrue(events.get(0).startsWith("ACTION_FAILED list: java.lang.ArithmeticException"));
    }
}

package org.basilswitch.schedule;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.basilswitch.event.RecordingTelemetry;
import org.basilswitch.job.Resources;
import org.basilswitch.store.StoreError;
import org.basilswitch.time.SimulatedTime;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class LiveServersTest {
    private static final BackendServer SERVER =
            new BackendServer("i-1", 1, "pool", "10.0.0.1:80", "z", false, 0, new Resources(1, 1, 0), List.of());

    private static CompletionStage<Either<StoreError, List<BackendServer>>> listed() {
        return CompletableFuture.completedFuture(Either.right(List.of(SERVER)));
    }

    /** Ways in which one read of the list fails with an exception. */
    @DataProvider
    public Object[][] failures() {
        Supplier<CompletionStage<Either<StoreError, List<BackendServer>>>> thrown = () -> {
            throw new IllegalArgumentException("odd entry");
        };
        Supplier<CompletionStage<Either<StoreError, List<BackendServer>>>> failed =
                () -> CompletableFuture.failedFuture(new IllegalArgumentException("odd entry"));
        return new Object[][] {{thrown}, {failed}};
    }

    @Test(dataProvider = "failures")
    public void listIsFollowedAfterFailedRead(Supplier<CompletionStage<Either<StoreError, List<BackendServer>>>> odd) {
        SimulatedTime time = SimulatedTime.create();
        List<String> events = new ArrayList<>();
        int[] reads = {0};
        LiveServers servers = LiveServers.create(
                time, time, () -> reads[0]++ == 1 ? odd.get() : listed(), RecordingTelemetry.to(events));
        servers.start(() -> {});
        time.runFor(Duration.ofSeconds(5));
        assertEquals(servers.confirmedWithin(Duration.ofSeconds(1)), true, "reads=" + reads[0]);
        assertEquals(servers.servers().values().stream().toList(), List.of(SERVER));
        assertEquals(
                events.stream().map(event -> event.replaceAll(" at .*", "")).toList(),
                List.of("ACTION_FAILED list of live servers: java.lang.IllegalArgumentException: odd entry"));
    }

    @Test
    public void listIsFollowedAfterFailureOfListener() {
        SimulatedTime time = SimulatedTime.create();
        List<String> events = new ArrayList<>();
        int[] calls = {0};
        LiveServers servers = LiveServers.create(time, time, LiveServersTest::listed, RecordingTelemetry.to(events));
        servers.start(() -> {
            if (calls[0]++ == 1) {
                throw new IllegalStateException("odd server");
            }
        });
        time.runFor(Duration.ofSeconds(5));
        assertEquals(servers.confirmedWithin(Duration.ofSeconds(1)), true, "calls=" + calls[0]);
        assertEquals(
                events.stream().map(event -> event.replaceAll(" at .*", "")).toList(),
                List.of("ACTION_FAILED list of live servers: java.lang.IllegalStateException: odd server"));
    }
}

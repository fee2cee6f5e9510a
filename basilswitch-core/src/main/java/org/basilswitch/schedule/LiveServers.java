package org.basilswitch.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.basilswitch.event.Completions;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.store.StoreError;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/**
 * Reads the list of live backend servers periodically.
 *
 * <p>Entries that expire while the store is unavailable reappear within about two seconds of its return. Until then,
 * servers that are missing from a new list are kept from the previous one.
 */
public final class LiveServers {
    /** Interval between reads; well below the time within which starts on a draining server have to stop. */
    private static final Duration READ_INTERVAL = Duration.ofMillis(450);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
    /** Time after an outage of the store within which expired entries may reappear. */
    private static final Duration RETURN_WINDOW = Duration.ofMillis(2200);
    /** Minimum duration of an outage; entries expire after three missed heartbeats. */
    private static final Duration MIN_OUTAGE_DURATION = Duration.ofMillis(1500);

    private final Clock clock;
    private final Scheduler scheduler;
    private final ServerRegistry list;
    private final Telemetry telemetry;
    private Map<BackendServer.Incarnation, BackendServer> servers = Map.of();
    private long confirmedNanos;
    private boolean confirmed;
    private long returnWindowEndNanos = Long.MIN_VALUE;
    private Runnable listener = () -> {};
    private boolean running;
    private boolean failing;

    private LiveServers(Clock clock, Scheduler scheduler, ServerRegistry list, Telemetry telemetry) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.list = list;
        this.telemetry = telemetry;
    }

    /** Creates a reader that is not started. */
    public static LiveServers create(Clock clock, Scheduler scheduler, ServerRegistry list, Telemetry telemetry) {
        return new LiveServers(clock, scheduler, list, telemetry);
    }

    /** Starts reading; the listener is called after each successful read. */
    public void start(Runnable onRead) {
        listener = onRead;
        if (!running) {
            running = true;
            confirmed = false;
            read();
        }
    }

    /** Stops reading. */
    public void stop() {
        running = false;
        listener = () -> {};
    }

    /** Returns the servers of the last read by incarnation. */
    public Map<BackendServer.Incarnation, BackendServer> servers() {
        return servers;
    }

    /** Returns whether the list has been confirmed within the given time before now. */
    public boolean confirmedWithin(Duration age) {
        return confirmed && clock.monotonicNanos() - confirmedNanos <= age.toNanos();
    }

    /** Returns the entry of an incarnation, if it is listed. */
    public Optional<BackendServer> find(BackendServer.Incarnation incarnation) {
        return Optional.ofNullable(servers.get(incarnation));
    }

    private void read() {
        if (!running) {
            return;
        }
        long requestedNanos = clock.monotonicNanos();
        Completions.thenAcceptOrLog(
                list::read,
                telemetry,
                "list of live servers",
                result -> {
                    onResult(requestedNanos, result);
                    scheduler.schedule(result.isRight() ? READ_INTERVAL : RETRY_INTERVAL, this::read);
                },
                () -> scheduler.schedule(RETRY_INTERVAL, this::read));
    }

    private void onResult(long requestedNanos, Either<StoreError, List<BackendServer>> result) {
        if (result.isLeft()) {
            if (!failing) {
                failing = true;
                telemetry.event(EventCode.LIVE_LIST_UNREADABLE, result.getLeft().detail());
            }
            return;
        }
        if (failing) {
            failing = false;
            telemetry.event(EventCode.LIVE_LIST_READ, "servers=" + result.get().size());
        }
        long nowNanos = clock.monotonicNanos();
        if (confirmed && nowNanos - confirmedNanos > MIN_OUTAGE_DURATION.toNanos()) {
            returnWindowEndNanos = nowNanos + RETURN_WINDOW.toNanos();
        }
        Map<BackendServer.Incarnation, BackendServer> next = new HashMap<>();
        result.get().forEach(server -> next.put(server.incarnation(), server));
        if (nowNanos < returnWindowEndNanos) {
            servers.forEach((incarnation, server) -> {
                boolean replaced =
                        next.keySet().stream().anyMatch(l -> l.serverId().equals(incarnation.serverId()));
                if (!replaced) {
                    next.put(incarnation, server);
                }
            });
        }
        servers = next;
        confirmed = true;
        confirmedNanos = requestedNanos;
        listener.run();
    }
}

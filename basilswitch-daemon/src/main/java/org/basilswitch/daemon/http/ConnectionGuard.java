package org.basilswitch.daemon.http;

import java.time.Duration;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import org.basilswitch.backpressure.ConnectionLimits;
import org.basilswitch.backpressure.ConnectionTable;
import org.basilswitch.backpressure.ServiceQueue;
import org.basilswitch.backpressure.ShedReason;
import org.basilswitch.event.CounterCode;
import org.basilswitch.event.EventCode;
import org.basilswitch.event.Telemetry;
import org.basilswitch.time.Clock;
import org.basilswitch.time.Scheduler;

/** Keeps the connections of an HTTP server within limits. Used on one event loop. */
public final class ConnectionGuard {
    /** Unread answers of a server with short ones. */
    public static final int SHORT_WRITE_QUEUE_BYTES = 8192;
    /** Unread answers of a server that streams them; the usual size of Netty. */
    public static final int STREAM_WRITE_QUEUE_BYTES = 65_536;

    private static final Duration STALL_CHECK_INTERVAL = Duration.ofSeconds(1);
    /** Time in which callers' bytes are decoded before calls to the store and timers have their turn. */
    private static final Duration DECODING_TURN = Duration.ofMillis(5);

    private final ConnectionTable<GuardedConnection> table;
    private final ServiceQueue<InboundGate> decoding;
    private final int writeQueueBytes;
    private final Scheduler scheduler;
    private final Telemetry telemetry;
    private boolean watchingStalls;

    private ConnectionGuard(
            ConnectionLimits limits, int writeQueueBytes, Clock clock, Scheduler scheduler, Telemetry telemetry) {
        this.table = ConnectionTable.create(limits, clock, this::shed);
        this.decoding = ServiceQueue.create(DECODING_TURN, clock, scheduler, InboundGate::decodeSlice);
        this.writeQueueBytes = writeQueueBytes;
        this.scheduler = scheduler;
        this.telemetry = telemetry;
    }

    /**
     * Creates the guard of a server.
     *
     * @param writeQueueBytes unread answers of a connection from which on its next request waits
     */
    public static ConnectionGuard create(
            ConnectionLimits limits, int writeQueueBytes, Clock clock, Scheduler scheduler, Telemetry telemetry) {
        return new ConnectionGuard(limits, writeQueueBytes, clock, scheduler, telemetry);
    }

    /**
     * Takes over a new connection; it is closed at once when there are too many.
     *
     * @param options options of the server
     */
    public GuardedConnection open(HttpConnection http, HttpServerOptions options) {
        GuardedConnection connection = new GuardedConnection(http, table, this::watchStalls);
        table.open(connection, http.remoteAddress().host())
                .ifPresent(entry -> connection.guard(
                        entry, InboundGate.install(http, options, connection, writeQueueBytes, decoding)));
        return connection;
    }

    /** Starts the check for requests without progress, unless it runs. */
    private void watchStalls() {
        if (!watchingStalls) {
            watchingStalls = true;
            scheduler.schedule(STALL_CHECK_INTERVAL, () -> {
                watchingStalls = false;
                if (table.shedStalled()) {
                    watchStalls();
                }
            });
        }
    }

    private void shed(GuardedConnection connection, ShedReason reason) {
        telemetry.count(CounterCode.CONNECTIONS_SHED, reason.text());
        telemetry.event(
                EventCode.CONNECTION_SHED,
                "reason=" + reason.text() + " from=" + connection.http().remoteAddress() + " connections="
                        + table.connections() + " usedBytes=" + table.usedBytes());
        connection.shed(reason);
    }
}
